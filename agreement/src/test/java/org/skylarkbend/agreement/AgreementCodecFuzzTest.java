package org.skylarkbend.agreement;

import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of messages between members. */
public class AgreementCodecFuzzTest implements FuzzTargets {
    private static final MemberId A = new MemberId(ObjectName.of("a"), 5);
    private static final MemberId B = new MemberId(ObjectName.of("b"), Long.MAX_VALUE);
    private static final Membership MEMBERS = new Membership(List.of(A, B));
    private static final List<LogEntry> ENTRIES =
            List.of(
                    new LogEntry(8, 2, new EntryContent.NoOperation()),
                    new LogEntry(9, 2, new EntryContent.MembershipChange(MEMBERS)),
                    new LogEntry(10, 3, new EntryContent.Command(new byte[] {1, 2, 3})));

    private final AgreementCodec mCodec = new AgreementCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec(
                        "agreement-messages", messages(), mCodec::encode, mCodec::decode));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<Envelope> messages() {
        List<AgreementMessage> messages =
                List.of(
                        new AgreementMessage.PreVoteRequest(1, 2, 3),
                        new AgreementMessage.PreVoteResponse(1, true),
                        new AgreementMessage.VoteRequest(1, 2, 3),
                        new AgreementMessage.VoteResponse(1, false, 700),
                        new AgreementMessage.AppendRequest(1, 2, 7, 4, 5, ENTRIES),
                        new AgreementMessage.AppendResponse(1, 2, true, 9),
                        new AgreementMessage.SnapshotChunk(
                                1, 2, 3, 4, MEMBERS, 5, new byte[] {7}, true),
                        new AgreementMessage.SnapshotResponse(1, 2, 3, 4),
                        new AgreementMessage.DiskCheckRequest(1, 2, 3),
                        new AgreementMessage.DiskCheckResponse(1, 2),
                        new AgreementMessage.LeaveRequest(),
                        new AgreementMessage.LeaveResponse(true),
                        new AgreementMessage.Announcement(true, false, Optional.of(B)));
        return messages.stream().map(message -> new Envelope(A, Optional.of(B), message)).toList();
    }
}
