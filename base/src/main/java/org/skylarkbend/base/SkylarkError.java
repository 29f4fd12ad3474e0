package org.skylarkbend.base;

import java.util.Objects;

/** An error with its kind and a message for people. */
public record SkylarkError(ErrorKind kind, String detail) {
    /** Rejects null components. */
    public SkylarkError {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(detail);
    }
}
