package org.skylarkbend.agreement;

import java.util.EnumSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tells the begin and the end of a failure of a disk apart from what happens in between. Some
 * writes may succeed while others fail, so a success ends only failures of its kind.
 */
final class DiskFailures {
    /** A kind of write. A snapshot replaces the log too, so its success proves that both work. */
    enum Kind {
        ENTRIES,
        SNAPSHOT
    }

    private final Set<Kind> mFailing = EnumSet.noneOf(Kind.class);
    private long mSinceMilliseconds;

    /** Notes a failed write and returns whether the failure of the disk begins with it. */
    boolean failed(Kind kind, long nowMilliseconds) {
        boolean begins = mFailing.isEmpty();
        if (begins) {
            mSinceMilliseconds = nowMilliseconds;
        }
        mFailing.add(kind);
        return begins;
    }

    /** Notes a write and returns the duration in milliseconds of a failure that ends with it. */
    OptionalLong succeeded(Kind kind, long nowMilliseconds) {
        if (mFailing.isEmpty()) {
            return OptionalLong.empty();
        }
        mFailing.remove(kind);
        if (kind == Kind.SNAPSHOT) {
            mFailing.clear();
        }
        return mFailing.isEmpty()
                ? OptionalLong.of(nowMilliseconds - mSinceMilliseconds)
                : OptionalLong.empty();
    }
}
