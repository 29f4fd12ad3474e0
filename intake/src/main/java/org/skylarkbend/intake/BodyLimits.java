package org.skylarkbend.intake;

import java.util.function.Supplier;
import org.skylarkbend.base.SkylarkError;

/**
 * Limits on the body of a request, and the errors of bodies beyond them.
 *
 * @param maxBytes maximum size
 * @param idleMilliseconds time without a byte after which the body is late
 * @param untilMilliseconds time at which a body that is still incomplete is late
 * @param errors errors of bodies that are refused
 */
public record BodyLimits(
        long maxBytes, long idleMilliseconds, long untilMilliseconds, Errors errors) {
    /**
     * Errors of bodies that are refused.
     *
     * @param tooLarge error of a body over the maximum size
     * @param noMemory error of a body for which there is no memory
     * @param late error of a body that is late
     */
    public record Errors(
            Supplier<SkylarkError> tooLarge,
            Supplier<SkylarkError> noMemory,
            Supplier<SkylarkError> late) {}
}
