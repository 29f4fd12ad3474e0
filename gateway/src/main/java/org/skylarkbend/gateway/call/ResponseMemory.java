package org.skylarkbend.gateway.call;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.ByteBudget;

/**
 * The memory for what endpoints have sent and callers have not got yet, over all calls. When it is
 * exhausted, the call that holds most of it is given up, so that an endpoint that sends without end
 * takes no memory from the others. Confined to the task that serves the calls.
 */
public final class ResponseMemory {
    /** The part of the memory that a single call may hold. */
    private static final int PARTS_OF_A_CALL = 4;

    /** Call that holds part of a response. */
    interface Holder {
        /** Returns the number of bytes that the call holds. */
        long heldBytes();

        /** Gives up the response and releases its memory. */
        void giveUpResponse();
    }

    private final ByteBudget mBudget;
    private final Set<Holder> mHolders = new HashSet<>();

    /** Creates the memory of a gateway that holds nothing. */
    public ResponseMemory(ByteBudget budget) {
        mBudget = budget;
    }

    /** Returns the maximum number of bytes that a single call may hold. */
    long maxBytesOfACall() {
        return mBudget.limitBytes() / PARTS_OF_A_CALL;
    }

    /**
     * Changes the number of bytes that a call holds. Returns false, and changes nothing, if there
     * is no room although all calls that hold more were given up.
     */
    boolean resize(Holder holder, long toBytes) {
        long changeBytes = toBytes - holder.heldBytes();
        if (changeBytes <= 0) {
            mBudget.release(-changeBytes);
            if (toBytes == 0) {
                mHolders.remove(holder);
            }
            return true;
        }
        while (!mBudget.tryTake(changeBytes)) {
            Optional<Holder> largest =
                    mHolders.stream().max(Comparator.comparingLong(Holder::heldBytes));
            if (largest.isEmpty() || largest.get().heldBytes() <= toBytes) {
                return false;
            }
            largest.get().giveUpResponse();
            mHolders.remove(largest.get());
        }
        mHolders.add(holder);
        return true;
    }
}
