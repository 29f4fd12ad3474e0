package org.skylarkbend.base.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.skylarkbend.base.ObjectName;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * A mapping of a YAML document whose fields are read one at a time.
 *
 * <p>An invalid or missing field is reported as a problem and read as a valid placeholder, so that
 * one pass finds all problems. {@link #reportUnknownFields} reports each field that was not read.
 */
public final class YamlMap {
    private static final String PLACEHOLDER_NAME = "absent";

    private final YamlProblems mProblems;
    private final String mPath;
    private final int mLine;
    private final Map<String, Node> mFields = new LinkedHashMap<>();
    private final Map<String, Integer> mKeyLines = new LinkedHashMap<>();
    private final Set<String> mReadFields = new LinkedHashSet<>();

    YamlMap(YamlProblems problems, String path, int line, MappingNode node) {
        mProblems = problems;
        mPath = path;
        mLine = line;
        for (NodeTuple tuple : node.getValue()) {
            putField(tuple);
        }
    }

    private void putField(NodeTuple tuple) {
        int keyLine = YamlDocument.lineOf(tuple.getKeyNode());
        if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
            mProblems.add(keyLine, mPath, "a field name must be a scalar");
            return;
        }
        if (mFields.put(key.getValue(), tuple.getValueNode()) != null) {
            mProblems.add(keyLine, pathOf(key.getValue()), "duplicate field");
        }
        mKeyLines.put(key.getValue(), keyLine);
    }

    /** Returns the path of this mapping in its document. */
    public String path() {
        return mPath;
    }

    /** Returns the line on which this mapping starts. */
    public int line() {
        return mLine;
    }

    /** Returns the names of all fields in document order. */
    public List<String> fieldNames() {
        return List.copyOf(mFields.keySet());
    }

    /** Returns whether the field is present. */
    public boolean has(String field) {
        return mFields.containsKey(field);
    }

    /** Reports a problem at the line of a field, or of the mapping if the field is absent. */
    public void problem(String field, String message) {
        mProblems.add(mKeyLines.getOrDefault(field, mLine), pathOf(field), message);
    }

    /** Reads a required text. */
    public String text(String field) {
        return textOr(field, null);
    }

    /** Reads an optional text. */
    public String textOr(String field, String defaultValue) {
        return scalar(field, defaultValue, "text", Function.identity());
    }

    /** Reads a required path. */
    public Path path(String field) {
        Path path = pathOr(field, null);
        return path == null ? Path.of("") : path;
    }

    /** Reads an optional path. */
    public Path pathOr(String field, Path defaultValue) {
        return scalar(field, defaultValue, "a path", Path::of);
    }

    /** Reads a required name. */
    public ObjectName name(String field) {
        String text = text(field);
        if (ObjectName.isValid(text)) {
            return ObjectName.of(text);
        }
        if (text != null) {
            problem(field, "\"" + text + "\" is not a valid name (use 1 to 64 of a-z 0-9 - _ .)");
        }
        return ObjectName.of(PLACEHOLDER_NAME);
    }

    /** Reads an optional name. */
    public Optional<ObjectName> optionalName(String field) {
        return has(field) ? Optional.of(name(field)) : Optional.empty();
    }

    /** Reads a required integer within an inclusive range. */
    public long integer(String field, long min, long max) {
        return integerOr(field, null, min, max);
    }

    /** Reads an optional integer within an inclusive range. */
    public long integerOr(String field, Long defaultValue, long min, long max) {
        String range = "whole number from " + min + " to " + max;
        Long value = scalar(field, defaultValue, range, Long::valueOf);
        if (value == null) {
            return min;
        }
        if (has(field) && (value < min || value > max)) {
            problem(field, value + " is out of range: expected a " + range);
            return min;
        }
        return value;
    }

    /** Reads an optional number within an inclusive range. */
    public double decimalOr(String field, Double defaultValue, double min, double max) {
        String range = "number from " + min + " to " + max;
        Double value = scalar(field, defaultValue, range, Double::valueOf);
        if (value == null) {
            return min;
        }
        if (has(field) && !(value >= min && value <= max)) {
            problem(field, value + " is out of range: expected a " + range);
            return min;
        }
        return value;
    }

    /** Reads an optional boolean. */
    public boolean booleanOr(String field, boolean defaultValue) {
        return scalar(field, defaultValue, "true or false", YamlMap::parseBoolean);
    }

    /** Reads an enum constant in lower case; the field is required if the default is null. */
    public <E extends Enum<E>> E enumOr(String field, Class<E> type, E defaultValue) {
        String list = java.util.Arrays.toString(type.getEnumConstants()).toLowerCase();
        E value = scalar(field, defaultValue, "one of " + list, text -> parseEnum(type, text));
        return value == null ? type.getEnumConstants()[0] : value;
    }

    /** Reads a list of names, empty if absent. */
    public List<ObjectName> names(String field) {
        List<ObjectName> names = new ArrayList<>();
        for (Node item : sequence(field)) {
            String text = item instanceof ScalarNode scalar ? scalar.getValue() : null;
            if (ObjectName.isValid(text)) {
                names.add(ObjectName.of(text));
            } else {
                mProblems.add(YamlDocument.lineOf(item), pathOf(field), "expected a name");
            }
        }
        return List.copyOf(names);
    }

    /** Reads a list of texts, empty if absent. */
    public List<String> texts(String field) {
        List<String> texts = new ArrayList<>();
        for (Node item : sequence(field)) {
            if (item instanceof ScalarNode scalar) {
                texts.add(scalar.getValue());
            } else {
                mProblems.add(YamlDocument.lineOf(item), pathOf(field), "expected a text");
            }
        }
        return List.copyOf(texts);
    }

    /** Reads a list of mappings, empty if absent. */
    public List<YamlMap> maps(String field) {
        List<YamlMap> maps = new ArrayList<>();
        int index = 0;
        for (Node item : sequence(field)) {
            String path = pathOf(field) + "[" + index++ + "]";
            YamlDocument.asMap(mProblems, path, item).ifPresent(maps::add);
        }
        return List.copyOf(maps);
    }

    /** Reads a nested mapping, empty if absent. */
    public Optional<YamlMap> map(String field) {
        mReadFields.add(field);
        if (!has(field)) {
            return Optional.empty();
        }
        return YamlDocument.asMap(mProblems, pathOf(field), mFields.get(field));
    }

    /** Reports each field that was not read; such a field is unknown to the reader. */
    public void reportUnknownFields() {
        for (String field : mFields.keySet()) {
            if (!mReadFields.contains(field)) {
                problem(field, "unknown field; known fields: " + mReadFields);
            }
        }
    }

    private List<Node> sequence(String field) {
        mReadFields.add(field);
        if (!has(field)) {
            return List.of();
        }
        if (mFields.get(field) instanceof SequenceNode sequence) {
            return sequence.getValue();
        }
        problem(field, "expected a list");
        return List.of();
    }

    private <T> T scalar(
            String field, T defaultValue, String expected, Function<String, T> parser) {
        mReadFields.add(field);
        if (!has(field)) {
            if (defaultValue == null) {
                problem(field, "the field is missing: expected " + expected);
            }
            return defaultValue;
        }
        if (!(mFields.get(field) instanceof ScalarNode scalar)) {
            problem(field, "not a single value: expected " + expected);
            return defaultValue;
        }
        try {
            return parser.apply(scalar.getValue());
        } catch (IllegalArgumentException e) {
            problem(field, "\"" + scalar.getValue() + "\" is not " + expected);
            return defaultValue;
        }
    }

    private String pathOf(String field) {
        return mPath.isEmpty() ? field : mPath + "." + field;
    }

    private static Boolean parseBoolean(String text) {
        return switch (text) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            default -> throw new IllegalArgumentException(text);
        };
    }

    private static <E extends Enum<E>> E parseEnum(Class<E> type, String text) {
        for (E constant : type.getEnumConstants()) {
            if (constant.name().toLowerCase(java.util.Locale.ROOT).equals(text)) {
                return constant;
            }
        }
        throw new IllegalArgumentException(text);
    }
}
