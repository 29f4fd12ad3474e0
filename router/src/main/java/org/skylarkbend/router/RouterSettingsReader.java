package org.skylarkbend.router;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.settings.YamlDocument;
import org.skylarkbend.base.settings.YamlMap;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.router.RouterBounds.CallerBounds;
import org.skylarkbend.router.RouterSettings.HttpAddress;
import org.skylarkbend.wire.TlsFiles;

/** Reads and validates the settings of a router from YAML. */
public final class RouterSettingsReader {
    private static final long MAX_PORT = 65_535;
    private static final long KIBIBYTE = 1024;
    private static final long MEBIBYTE = 1024 * KIBIBYTE;
    private static final long MINUTE_MILLISECONDS = 60_000;
    private static final long DAY_MILLISECONDS = 24 * 60 * MINUTE_MILLISECONDS;
    private static final int MIN_CREDENTIAL_CHARACTERS = 16;

    private RouterSettingsReader() {}

    /** Reads and validates a file. */
    public static Result<RouterSettings> readFile(Path file) {
        return YamlDocument.readFile(file, RouterSettingsReader::read);
    }

    /** Reads and validates a text. The file name is used in error messages. */
    public static Result<RouterSettings> readText(String fileName, String yaml) {
        return YamlDocument.readText(fileName, yaml, RouterSettingsReader::read);
    }

    private static RouterSettings read(YamlMap root) {
        Optional<TlsFiles> tls = TlsFiles.read(root);
        List<ControlAddress> control = control(root);
        List<String> hosts = control.stream().map(ControlAddress::host).toList();
        TlsFiles.checkPlainTcp(root, hosts, tls, root.booleanOr("plain_tcp", false));
        return new RouterSettings(
                root.name("vm"),
                root.name("data_centre"),
                requiredAddress(root, "http"),
                control,
                credential(root),
                root.map("platform").map(RouterSettingsReader::address),
                Optional.ofNullable(root.has("collector_url") ? root.text("collector_url") : null),
                tls,
                root.map("bounds").map(RouterSettingsReader::bounds).orElseGet(() -> defaults()));
    }

    private static HttpAddress requiredAddress(YamlMap root, String field) {
        Optional<YamlMap> fields = root.map(field);
        if (fields.isEmpty()) {
            root.problem(field, "the field is missing: give host and port");
            return new HttpAddress("", 0);
        }
        return address(fields.get());
    }

    private static HttpAddress address(YamlMap fields) {
        HttpAddress address =
                new HttpAddress(fields.text("host"), (int) fields.integer("port", 0, MAX_PORT));
        fields.reportUnknownFields();
        return address;
    }

    private static List<ControlAddress> control(YamlMap root) {
        List<ControlAddress> addresses =
                root.maps("control").stream()
                        .map(RouterSettingsReader::address)
                        .map(address -> new ControlAddress(address.host(), address.port()))
                        .toList();
        if (addresses.isEmpty()) {
            root.problem("control", "give at least one control VM with host and port");
        }
        return addresses;
    }

    private static String credential(YamlMap root) {
        String credential = root.text("endpoint_credential");
        if (credential != null && credential.length() < MIN_CREDENTIAL_CHARACTERS) {
            String message = "give at least " + MIN_CREDENTIAL_CHARACTERS + " characters";
            root.problem("endpoint_credential", message);
        }
        return credential;
    }

    /** Returns the default bounds, used for settings without a bounds section. */
    public static RouterBounds defaults() {
        String none = "bounds: {}\n";
        return YamlDocument.readText("defaults", none, root -> bounds(root.map("bounds").get()))
                .fold(bounds -> bounds, error -> null);
    }

    private static RouterBounds bounds(YamlMap fields) {
        RouterBounds bounds =
                new RouterBounds(
                        callerBounds(fields),
                        bytes(fields, "max_answer_bytes", 16 * MEBIBYTE, 256 * MEBIBYTE),
                        time(fields, "connect_timeout_milliseconds", 1_000),
                        time(fields, "silence_milliseconds", 2_000),
                        time(fields, "service_timeout_milliseconds", 10_000),
                        time(fields, "answer_timeout_milliseconds", 10 * MINUTE_MILLISECONDS),
                        count(fields, "slots_per_endpoint", 64),
                        count(fields, "max_waiting_per_priority", 1_000),
                        count(fields, "max_waiting_per_customer", 500),
                        time(fields, "watch_milliseconds", 1_000),
                        time(fields, "drain_notice_milliseconds", 2_000));
        fields.reportUnknownFields();
        return bounds;
    }

    private static CallerBounds callerBounds(YamlMap fields) {
        return new CallerBounds(
                bytes(fields, "max_body_bytes", 16 * MEBIBYTE, 256 * MEBIBYTE),
                bytes(fields, "max_header_bytes", 16 * KIBIBYTE, MEBIBYTE),
                time(fields, "request_read_milliseconds", 10_000),
                time(fields, "idle_connection_milliseconds", MINUTE_MILLISECONDS),
                count(fields, "caller_connections", 2_000));
    }

    private static int bytes(YamlMap fields, String field, long defaultBytes, long maxBytes) {
        return (int) fields.integerOr(field, defaultBytes, KIBIBYTE, maxBytes);
    }

    private static long time(YamlMap fields, String field, long defaultMilliseconds) {
        return fields.integerOr(field, defaultMilliseconds, 10, DAY_MILLISECONDS);
    }

    private static int count(YamlMap fields, String field, long defaultCount) {
        return (int) fields.integerOr(field, defaultCount, 1, 1_000_000);
    }
}
