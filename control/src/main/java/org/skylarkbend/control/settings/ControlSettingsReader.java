package org.skylarkbend.control.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.settings.YamlDocument;
import org.skylarkbend.base.settings.YamlMap;
import org.skylarkbend.wire.TlsFiles;

/** Reads and validates the settings of a control process. All problems are reported together. */
public final class ControlSettingsReader {
    private static final long MAX_PORT = 65_535;
    private static final long DEFAULT_LEASE_MILLISECONDS = 5_000;
    private static final long MIN_LEASE_MILLISECONDS = 1_000;
    private static final long MAX_LEASE_MILLISECONDS = 20_000;
    private static final long DEFAULT_SET_BYTES = 4L * 1024 * 1024;
    private static final long MAX_SET_BYTES = 8L * 1024 * 1024;
    private static final int MAX_MEMBERS = 7;
    private static final String DIGEST_PATTERN = "[0-9a-f]{64}";

    private ControlSettingsReader() {}

    /** Reads settings from a YAML file. */
    public static Result<ControlSettings> readFile(Path file) {
        return YamlDocument.readFile(file, ControlSettingsReader::read);
    }

    /** Reads settings from YAML text. Problem messages start with the file name. */
    public static Result<ControlSettings> readText(String fileName, String yaml) {
        return YamlDocument.readText(fileName, yaml, ControlSettingsReader::read);
    }

    private static ControlSettings read(YamlMap root) {
        ControlSettings settings =
                new ControlSettings(
                        root.name("vm"),
                        root.name("data_centre"),
                        root.pathOr("data_folder", Path.of("")),
                        root.maps("members").stream().map(ControlSettingsReader::member).toList(),
                        root.maps("operators").stream()
                                .map(ControlSettingsReader::operator)
                                .toList(),
                        root.integerOr(
                                "serving_lease_milliseconds",
                                DEFAULT_LEASE_MILLISECONDS,
                                MIN_LEASE_MILLISECONDS,
                                MAX_LEASE_MILLISECONDS),
                        (int) root.integerOr("max_set_bytes", DEFAULT_SET_BYTES, 1, MAX_SET_BYTES),
                        TlsFiles.read(root),
                        root.booleanOr("plain_tcp", false),
                        Optional.ofNullable(
                                root.has("trace_collector") ? root.text("trace_collector") : null));
        check(root, settings);
        return settings;
    }

    private static ControlVm member(YamlMap fields) {
        ControlVm address =
                new ControlVm(
                        fields.name("vm"),
                        String.valueOf(fields.text("host")),
                        port(fields, "agreement_port"),
                        port(fields, "feed_port"),
                        port(fields, "operator_port"));
        fields.reportUnknownFields();
        return address;
    }

    private static OperatorCredential operator(YamlMap fields) {
        String digest = fields.textOr("digest_sha256", "");
        if (!digest.matches(DIGEST_PATTERN)) {
            fields.problem(
                    "digest_sha256",
                    "give 64 lower-case hexadecimal digits; \"skylarkctl key new\" prints them");
        }
        OperatorCredential credential = new OperatorCredential(fields.name("name"), digest);
        fields.reportUnknownFields();
        return credential;
    }

    private static int port(YamlMap fields, String field) {
        return (int) fields.integer(field, 1, MAX_PORT);
    }

    private static void check(YamlMap root, ControlSettings settings) {
        if (settings.dataFolder().toString().isEmpty()) {
            root.problem("data_folder", "give a folder on persistent storage");
        }
        if (settings.members().isEmpty() || settings.members().size() > MAX_MEMBERS) {
            root.problem(
                    "members", "give 1 to " + MAX_MEMBERS + " control VMs; 3 or 5 are recommended");
        } else if (settings.find(settings.vm()).isEmpty()) {
            root.problem("members", "this VM is not listed: \"" + settings.vm() + "\"");
        }
        if (settings.members().size() != distinctNames(settings)) {
            root.problem("members", "two members have the same name");
        }
        if (settings.operators().isEmpty()) {
            root.problem("operators", "give at least one operator");
        }
        List<String> hosts = settings.members().stream().map(ControlVm::host).toList();
        TlsFiles.checkPlainTcp(root, hosts, settings.tls(), settings.plainTcp());
    }

    private static long distinctNames(ControlSettings settings) {
        return settings.members().stream().map(ControlVm::vm).distinct().count();
    }
}
