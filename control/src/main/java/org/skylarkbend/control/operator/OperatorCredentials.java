package org.skylarkbend.control.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.control.settings.OperatorCredential;

/** Authenticates operators by the SHA-256 digests of their credentials. */
final class OperatorCredentials {
    private static final String BEARER = "Bearer ";

    private final List<OperatorCredential> mCredentials;

    OperatorCredentials(List<OperatorCredential> credentials) {
        mCredentials = List.copyOf(credentials);
    }

    /**
     * Returns the operator whose credential is in the {@code Authorization} header, or empty if the
     * header is missing or the credential is unknown.
     */
    Optional<ObjectName> find(String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        byte[] digest = bytesOf(Sha256.hexOf(authorization.substring(BEARER.length()).strip()));
        return mCredentials.stream()
                .filter(known -> MessageDigest.isEqual(digest, bytesOf(known.digestSha256())))
                .map(OperatorCredential::name)
                .findFirst();
    }

    private static byte[] bytesOf(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
