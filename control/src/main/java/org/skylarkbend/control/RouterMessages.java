package org.skylarkbend.control;

import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.skylarkbend.control.feed.FeedOptions;
import org.skylarkbend.forwarding.ledger.LedgerCodec;
import org.skylarkbend.forwarding.ledger.LedgerMessage;
import org.skylarkbend.limits.LimitCodec;
import org.skylarkbend.usage.UsageCodec;
import org.skylarkbend.usage.UsageMessage;
import org.skylarkbend.wire.MessageCodec;

/**
 * Declares the slice messages that routers may send: those that are proposed to the replicated log
 * and those that go to the owner of their slice on the leader.
 */
final class RouterMessages {
    private static final Map<String, Predicate<byte[]>> REPLICATED_SLICES =
            Map.of(
                    LedgerMessage.SLICE,
                    payload -> decodesTo(new LedgerCodec(), LedgerMessage.Request.class, payload),
                    UsageMessage.SLICE,
                    payload -> decodesTo(new UsageCodec(), UsageMessage.Request.class, payload));
    private static final Set<String> OWNED_SLICES = Set.of(LimitCodec.SLICE);

    private RouterMessages() {}

    static FeedOptions options(long leaseMilliseconds) {
        return FeedOptions.of(leaseMilliseconds, REPLICATED_SLICES, OWNED_SLICES);
    }

    private static <M> boolean decodesTo(MessageCodec<M> codec, Class<?> type, byte[] payload) {
        return codec.decode(payload).fold(type::isInstance, error -> false);
    }
}
