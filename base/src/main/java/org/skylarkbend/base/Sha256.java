package org.skylarkbend.base;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests in lower-case hexadecimal, the format of key digests in sets. */
public final class Sha256 {
    private Sha256() {}

    /** Returns the digest of the UTF-8 encoding of the text. */
    public static String hexOf(String text) {
        return hexOf(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the digest of the bytes. */
    public static String hexOf(byte[] bytes) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports SHA-256", e);
        }
    }
}
