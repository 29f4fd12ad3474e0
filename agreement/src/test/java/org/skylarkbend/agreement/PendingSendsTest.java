package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.agreement.AgreementEffect.Send;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.base.ObjectName;
import org.testng.annotations.Test;

/** Tests for {@link PendingSends}. */
public class PendingSendsTest {
    private static final MemberId LEADER = new MemberId(ObjectName.of("vm-2"), 2);

    /** Guards against messages that add up without end while a disk hangs. */
    @Test
    public void theOldestMessagesAreDroppedWhileTheDiskHangs() {
        PendingSends pending = new PendingSends();
        for (long round = 1; round <= 3 * PendingSends.MAX_SENDS; round++) {
            pending.add(response(round, 1));
        }
        List<Send> sent = new ArrayList<>();
        pending.sendReady(1, sent::add);
        assertThat(sent)
                .hasSize(PendingSends.MAX_SENDS)
                .endsWith(response(3 * PendingSends.MAX_SENDS, 1));
    }

    /** Guards against a message of a term that is not on disk yet. */
    @Test
    public void aMessageIsSentInOrderOnceTheWriteItWaitsForIsSynced() {
        PendingSends pending = new PendingSends();
        pending.add(response(1, 1));
        pending.add(response(2, 2));
        pending.add(response(3, 3));
        List<Send> sent = new ArrayList<>();
        pending.sendReady(2, sent::add);
        assertThat(sent).containsExactly(response(1, 1), response(2, 2));
        pending.clear();
        pending.sendReady(3, sent::add);
        assertThat(sent).hasSize(2);
    }

    private static Send response(long round, long afterPersist) {
        return new Send(LEADER, new AppendResponse(3, round, true, 10), afterPersist);
    }
}
