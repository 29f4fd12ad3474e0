package org.skylarkbend.wire;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.settings.YamlMap;

/**
 * Paths of the PEM files with the certificate, private key and trusted authorities of a process.
 *
 * <p>The files are reloaded while the process runs, so that keys can be replaced without a restart.
 */
public record TlsFiles(Path certificate, Path key, Path authorities) {
    private static final String FIELD = "tls";

    /** Reads the optional setting {@code tls} and reports files that are not readable. */
    public static Optional<TlsFiles> read(YamlMap root) {
        return root.map(FIELD).map(TlsFiles::readFields);
    }

    /**
     * Reports a problem if connections beyond loopback would not use TLS.
     *
     * @param root the settings
     * @param hosts the hosts that are connected to or listened on
     * @param tls the TLS files, if configured
     * @param plainTcp true if the settings explicitly allow connections without TLS
     */
    public static void checkPlainTcp(
            YamlMap root, List<String> hosts, Optional<TlsFiles> tls, boolean plainTcp) {
        if (tls.isEmpty() && !plainTcp && !hosts.stream().allMatch(TlsFiles::isLoopback)) {
            root.problem(
                    "plain_tcp",
                    "connections to other VMs have no TLS: set \"tls\", or set plain_tcp to true"
                            + " only if the network between the VMs is private");
        }
    }

    /** Reads all files; fails if one of them cannot be read. */
    Result<TlsMaterial> load() {
        try {
            return Result.success(
                    new TlsMaterial(
                            Files.readString(certificate),
                            Files.readString(key),
                            Files.readString(authorities)));
        } catch (IOException e) {
            return Result.failure(
                    ErrorKind.CONNECTION_FAILED, "cannot read a TLS file: " + e.getMessage());
        }
    }

    private static TlsFiles readFields(YamlMap fields) {
        TlsFiles files =
                new TlsFiles(
                        file(fields, "certificate"),
                        file(fields, "key"),
                        file(fields, "authorities"));
        fields.reportUnknownFields();
        return files;
    }

    private static Path file(YamlMap fields, String field) {
        Path path = fields.path(field);
        if (fields.has(field) && !Files.isReadable(path)) {
            fields.problem(field, "the file " + path + " is not readable");
        }
        return path;
    }

    private static boolean isLoopback(String host) {
        return host != null && (host.startsWith("127.") || host.equals("::1"));
    }
}
