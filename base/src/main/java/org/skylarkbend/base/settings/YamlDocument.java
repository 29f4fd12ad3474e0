package org.skylarkbend.base.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Function;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.Utf8;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;

/** Parses a YAML document and passes its root mapping to a reader. */
public final class YamlDocument {
    private static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;
    private static final int MAX_ALIASES = 0;
    private static final int MAX_NESTING = 32;

    private YamlDocument() {}

    /**
     * Reads a file; fails with all problems found, including fields that the reader did not read.
     */
    public static <T> Result<T> readFile(Path file, Function<YamlMap, T> reader) {
        try {
            if (Files.size(file) > MAX_DOCUMENT_BYTES) {
                return Result.failure(ErrorKind.SET_INVALID, file + ": larger than 16 MiB");
            }
            return Utf8.decode(Files.readAllBytes(file), ErrorKind.SET_INVALID)
                    .fold(
                            text -> readText(file.toString(), text, reader),
                            error ->
                                    Result.failure(
                                            ErrorKind.SET_INVALID, file + ": " + error.detail()));
        } catch (IOException e) {
            return Result.failure(
                    ErrorKind.SET_INVALID, file + ": cannot read the file: " + e.getMessage());
        }
    }

    /**
     * Reads a text; fails with all problems found, including fields that the reader did not read.
     */
    public static <T> Result<T> readText(String file, String text, Function<YamlMap, T> reader) {
        YamlProblems problems = new YamlProblems(file);
        Optional<YamlMap> root = compose(problems, text);
        if (root.isEmpty()) {
            return problems.resultOf(() -> null);
        }
        T value = reader.apply(root.get());
        root.get().reportUnknownFields();
        return problems.resultOf(() -> value);
    }

    private static Optional<YamlMap> compose(YamlProblems problems, String text) {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_DOCUMENT_BYTES);
        options.setMaxAliasesForCollections(MAX_ALIASES);
        options.setNestingDepthLimit(MAX_NESTING);
        try {
            Node node = new Yaml(options).compose(new StringReader(text));
            if (node == null) {
                problems.add(1, "", "the document is empty");
                return Optional.empty();
            }
            return asMap(problems, "", node);
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
            problems.add(line, "", "not YAML: " + e.getProblem());
        } catch (YAMLException | IllegalArgumentException e) {
            problems.add(1, "", "not YAML: " + e.getMessage());
        }
        return Optional.empty();
    }

    static Optional<YamlMap> asMap(YamlProblems problems, String path, Node node) {
        if (node instanceof MappingNode mapping) {
            return Optional.of(new YamlMap(problems, path, lineOf(node), mapping));
        }
        problems.add(lineOf(node), path, "expected a mapping of fields");
        return Optional.empty();
    }

    static int lineOf(Node node) {
        return node.getStartMark() == null ? 1 : node.getStartMark().getLine() + 1;
    }
}
