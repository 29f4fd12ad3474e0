package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import org.skylarkbend.agreement.AgreementEffect.Apply;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.agreement.AgreementEffect.TakeSnapshot;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Propose;
import org.skylarkbend.agreement.AgreementInput.SnapshotTaken;
import org.skylarkbend.agreement.AgreementInput.Tick;
import org.skylarkbend.agreement.EntryContent.Command;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;

/**
 * A member that is alone in its group and commits large commands, of which its state machine keeps
 * the last one. {@link LargeEntriesTest} runs it with a small heap.
 */
final class LargeEntriesProcess {
    static final int COMMAND_BYTES = 320 * 1024;

    private static final ObjectName VM = ObjectName.of("vm-1");
    private static final long TICK_MILLISECONDS = 10_000;

    private final AgreementStorage mStorage;
    private final AgreementDecider mDecider;
    private final Deque<AgreementInput> mInputs = new ArrayDeque<>();
    private byte[] mLast = new byte[0];

    private LargeEntriesProcess(AgreementStorage storage) {
        mStorage = storage;
        mDecider =
                new AgreementDecider(
                        storage.recovered(),
                        AgreementOptions.lowLatency(),
                        MembershipRules.fixed(Set.of(VM)),
                        bound -> 0,
                        0,
                        TICK_MILLISECONDS);
    }

    /**
     * Commits commands, then prints how many commands and restored snapshots led to the state.
     *
     * @param arguments the data folder and the number of commands
     */
    public static void main(String[] arguments) throws IOException {
        Result<AgreementStorage> opened =
                AgreementStorage.open(
                        Path.of(arguments[0]), VM, () -> 1, FileOperations.direct(), true);
        try (AgreementStorage storage =
                opened.fold(
                        present -> present,
                        error -> {
                            throw new IllegalStateException(error.detail());
                        })) {
            LargeEntriesProcess member = new LargeEntriesProcess(storage);
            member.becomeLeader();
            for (int number = 1; number <= Integer.parseInt(arguments[1]); number++) {
                byte[] command = new byte[COMMAND_BYTES];
                command[0] = (byte) number;
                member.decide(new Propose(number, new Command(command)));
            }
            System.out.println("last=" + (member.mLast.length == 0 ? "none" : member.mLast[0]));
        }
    }

    private void becomeLeader() {
        long nowMilliseconds = TICK_MILLISECONDS;
        while (mDecider.role() != MemberRole.LEADER) {
            nowMilliseconds += TICK_MILLISECONDS;
            decide(new Tick(), nowMilliseconds);
        }
    }

    private void decide(AgreementInput input) {
        decide(input, 0);
    }

    private void decide(AgreementInput first, long nowMilliseconds) {
        mInputs.add(first);
        while (!mInputs.isEmpty()) {
            mDecider.decide(mInputs.poll(), nowMilliseconds).forEach(this::execute);
        }
    }

    private void execute(AgreementEffect effect) {
        if (effect instanceof Persist persist) {
            report(mStorage.persist(java.util.List.of(persist)));
        } else if (effect instanceof SaveSnapshot save) {
            report(mStorage.save(save));
        } else if (effect instanceof TakeSnapshot take) {
            mInputs.add(new SnapshotTaken(take.index(), mLast.clone()));
        } else if (effect instanceof AgreementEffect.Restore restore) {
            mLast = restore.snapshot().data();
        } else if (effect instanceof Apply apply
                && apply.entry().content() instanceof Command command) {
            mLast = command.bytes();
        } else if (effect instanceof AgreementEffect.FailProposal failed) {
            throw new IllegalStateException(failed.error().detail());
        }
    }

    private void report(Result<Long> written) {
        written.match(
                number -> mInputs.add(new Persisted(number)),
                error -> {
                    throw new IllegalStateException(error.detail());
                });
    }
}
