package org.skylarkbend.membership;

/**
 * Timeouts that apply to evidence about VMs.
 *
 * @param suspectAfterMilliseconds the time without a sign of life after which a VM is suspect
 * @param removedAfterMilliseconds the time for which a VM must be both unlisted and silent before
 *     it is removed
 */
public record VmTimeouts(long suspectAfterMilliseconds, long removedAfterMilliseconds) {
    /** Returns the default timeouts. */
    public static VmTimeouts defaults() {
        return new VmTimeouts(3_000, 30_000);
    }
}
