package org.skylarkbend.agreement;

import java.util.SplittableRandom;
import org.skylarkbend.base.Result;

/** The disk of a simulated member. */
interface MemberDisk {
    /** Creates the disk of a member. */
    @FunctionalInterface
    interface Factory {
        /**
         * Creates an empty disk.
         *
         * @param isOfFirstStart true if it replaces no other disk, as far as its member can know
         */
        MemberDisk create(MemberId identity, boolean isOfFirstStart);
    }

    MemberId identity();

    void add(AgreementEffect write);

    boolean hasUnsynced();

    /** Performs one sync: of a snapshot, or of all persists before the next snapshot. */
    Result<Long> syncNext();

    /** Returns whether the disk can write this many bytes. */
    boolean hasRoom(long sizeBytes);

    /**
     * Drops all writes that are not synced.
     *
     * @param mayComeBack true if some may be on disk until the next write, and be found by a
     *     restart
     */
    void failAll(boolean mayComeBack);

    /** Simulates a crash of the process. */
    void crash(SplittableRandom random);

    /** Returns the state after the start or a crash. */
    DurableState recovered();
}
