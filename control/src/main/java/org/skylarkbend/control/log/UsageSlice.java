package org.skylarkbend.control.log;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.log.ControlChange.UsageCounted;
import org.skylarkbend.usage.MonthNumbers;
import org.skylarkbend.usage.UsageCodec;
import org.skylarkbend.usage.UsageDecider;
import org.skylarkbend.usage.UsageLine;
import org.skylarkbend.usage.UsageMessage;
import org.skylarkbend.usage.UsageMessage.ReadUsage;
import org.skylarkbend.usage.UsageMessage.Report;
import org.skylarkbend.usage.UsageSnapshot;
import org.skylarkbend.usage.UsageSnapshot.MonthTokens;
import org.skylarkbend.usage.UsageTokens;

/** The usage counters as a slice of the replicated state. */
public final class UsageSlice implements ReplicatedSlice {
    private final UsageCodec mCodec = new UsageCodec();
    private final Consumer<ControlChange> mOnChange;
    private UsageDecider mUsage = new UsageDecider(UsageSnapshot.empty());

    /** Creates a slice without counted usage. */
    public UsageSlice(Consumer<ControlChange> onChange) {
        mOnChange = onChange;
    }

    @Override
    public String name() {
        return UsageMessage.SLICE;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        long todayEpochDay = TimeUnit.MILLISECONDS.toDays(proposedEpochMilliseconds);
        return mCodec.decode(payload).flatMap(message -> apply(message, todayEpochDay));
    }

    @Override
    public byte[] snapshot() {
        return mCodec.encodeSnapshot(mUsage.snapshot());
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return mCodec.decodeSnapshot(snapshot).map(this::replace);
    }

    private Result<byte[]> apply(UsageMessage message, long todayEpochDay) {
        if (message instanceof Report report) {
            UsageMessage acknowledged = mUsage.apply(report, todayEpochDay);
            notifyCounted(report, MonthNumbers.ofEpochDay(todayEpochDay));
            return Result.success(mCodec.encode(acknowledged));
        }
        if (message instanceof ReadUsage) {
            return Result.success(snapshot());
        }
        return Result.failure(ErrorKind.FRAME_INVALID, "unexpected usage message type");
    }

    private void notifyCounted(Report report, long month) {
        Map<ObjectName, UsageTokens> tokens = new TreeMap<>();
        for (UsageLine line : report.lines()) {
            ObjectName customer = line.subject().customer();
            tokens.computeIfAbsent(customer, name -> mUsage.tokensOf(name, month));
        }
        mOnChange.accept(new UsageCounted(month, tokens));
    }

    private Void replace(UsageSnapshot snapshot) {
        mUsage = new UsageDecider(snapshot);
        long latestMonth = snapshot.months().stream().mapToLong(MonthTokens::month).max().orElse(0);
        Map<ObjectName, UsageTokens> tokens = new TreeMap<>();
        for (MonthTokens line : snapshot.months()) {
            if (line.month() == latestMonth) {
                tokens.merge(line.subject().customer(), line.tokens(), UsageTokens::plus);
            }
        }
        mOnChange.accept(new UsageCounted(latestMonth, tokens));
        return null;
    }
}
