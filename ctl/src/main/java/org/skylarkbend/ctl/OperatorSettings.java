package org.skylarkbend.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.settings.YamlDocument;
import org.skylarkbend.base.settings.YamlMap;

/**
 * Addresses of control and the credential of the operator.
 *
 * @param controls operator addresses of control VMs, as {@code host:port}
 * @param credential credential of the operator
 */
public record OperatorSettings(List<String> controls, String credential) {
    static final String CREDENTIAL_VARIABLE = "SKYLARK_OPERATOR_CREDENTIAL";
    static final String CONTROL_VARIABLE = "SKYLARK_CONTROL";
    private static final String ADDRESS_REGEX = "[^:/\\s]+:[0-9]{1,5}";

    /** Copies the list. */
    public OperatorSettings {
        controls = List.copyOf(controls);
    }

    /** Returns the addresses only, so that the credential is never printed. */
    @Override
    public String toString() {
        return "OperatorSettings" + controls;
    }

    /** Reads each value from the flag, the environment or the file, in this order. */
    static Result<OperatorSettings> of(
            Optional<Path> file, String controlFlag, Map<String, String> environment) {
        Result<FileValues> values =
                file.map(path -> YamlDocument.readFile(path, OperatorSettings::readFile))
                        .orElse(Result.success(new FileValues(List.of(), Path.of(""))));
        return values.flatMap(read -> combine(read, controlFlag, environment));
    }

    private static Result<OperatorSettings> combine(
            FileValues values, String controlFlag, Map<String, String> environment) {
        String addresses = firstPresent(controlFlag, environment.get(CONTROL_VARIABLE));
        List<String> controls =
                addresses.isEmpty() ? values.controls() : List.of(addresses.split(","));
        if (controls.isEmpty() || !controls.stream().allMatch(a -> a.matches(ADDRESS_REGEX))) {
            return usageError(
                    "set the addresses of control by --control HOST:PORT[,HOST:PORT], the variable "
                            + CONTROL_VARIABLE
                            + " or \"controls\" in the --settings file");
        }
        Result<String> credential =
                environment.containsKey(CREDENTIAL_VARIABLE)
                        ? Result.success(environment.get(CREDENTIAL_VARIABLE))
                        : readCredential(values.credentialFile());
        return credential.map(text -> new OperatorSettings(controls, text.strip()));
    }

    private static Result<String> readCredential(Path file) {
        if (file.toString().isEmpty()) {
            return usageError(
                    "set the operator credential in the variable "
                            + CREDENTIAL_VARIABLE
                            + " or name its file as \"credential_file\" in the --settings file");
        }
        try {
            return Result.success(Files.readString(file));
        } catch (IOException e) {
            return usageError("cannot read the credential file " + file + ": " + e.getMessage());
        }
    }

    private static FileValues readFile(YamlMap root) {
        return new FileValues(root.texts("controls"), root.pathOr("credential_file", Path.of("")));
    }

    private static String firstPresent(String first, String second) {
        if (first != null) {
            return first;
        }
        return second == null ? "" : second;
    }

    private static <T> Result<T> usageError(String detail) {
        return Result.failure(ErrorKind.BAD_REQUEST, detail);
    }

    /** Values of the settings file. */
    private record FileValues(List<String> controls, Path credentialFile) {}
}
