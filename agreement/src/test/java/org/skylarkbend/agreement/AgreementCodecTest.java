package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.skylarkbend.agreement.AgreementMessage.Announcement;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.agreement.AgreementMessage.DiskCheckRequest;
import org.skylarkbend.agreement.AgreementMessage.DiskCheckResponse;
import org.skylarkbend.agreement.AgreementMessage.LeaveRequest;
import org.skylarkbend.agreement.AgreementMessage.LeaveResponse;
import org.skylarkbend.agreement.AgreementMessage.PreVoteRequest;
import org.skylarkbend.agreement.AgreementMessage.PreVoteResponse;
import org.skylarkbend.agreement.AgreementMessage.SnapshotChunk;
import org.skylarkbend.agreement.AgreementMessage.SnapshotResponse;
import org.skylarkbend.agreement.AgreementMessage.VoteRequest;
import org.skylarkbend.agreement.AgreementMessage.VoteResponse;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests for {@link AgreementCodec}: round trips and decoding of corrupted bytes. */
public class AgreementCodecTest {
    private static final MemberId A = new MemberId(ObjectName.of("a"), 5);
    private static final MemberId B = new MemberId(ObjectName.of("b"), Long.MAX_VALUE);
    private static final Membership MEMBERS = new Membership(List.of(A, B));
    private static final List<LogEntry> ENTRIES =
            List.of(
                    new LogEntry(8, 2, new EntryContent.NoOperation()),
                    new LogEntry(9, 2, new EntryContent.MembershipChange(MEMBERS)),
                    new LogEntry(10, 3, new EntryContent.Command(new byte[] {1, 2, 3})));
    private static final List<AgreementMessage> MESSAGES =
            List.of(
                    new PreVoteRequest(1, 2, 3),
                    new PreVoteResponse(1, true),
                    new VoteRequest(1, 2, 3),
                    new VoteResponse(1, false, 700),
                    new AppendRequest(1, 2, 7, 4, 5, ENTRIES),
                    new AppendResponse(1, 2, true, 9),
                    new SnapshotChunk(1, 2, 3, 4, MEMBERS, 5, new byte[] {7}, true),
                    new SnapshotResponse(1, 2, 3, 4),
                    new DiskCheckRequest(1, 2, 3),
                    new DiskCheckResponse(1, 2),
                    new LeaveRequest(),
                    new LeaveResponse(true),
                    new Announcement(true, false, Optional.of(B)));

    private final AgreementCodec mCodec = new AgreementCodec();

    @Test
    public void everyMessageSurvivesARoundTrip() {
        for (AgreementMessage message : MESSAGES) {
            Envelope envelope = new Envelope(A, Optional.of(B), message);
            assertThat(mCodec.decode(mCodec.encode(envelope)).map(List::of))
                    .isEqualTo(org.skylarkbend.base.Result.success(List.of(envelope)));
        }
    }

    @Test
    public void corruptedBytesAreADecodingFailureAndNoException() {
        SeededRuns.forEachSeed(
                1,
                2_000,
                seed -> {
                    SplittableRandom random = new SplittableRandom(seed);
                    AgreementMessage message = MESSAGES.get(random.nextInt(MESSAGES.size()));
                    byte[] bytes = mCodec.encode(new Envelope(A, Optional.empty(), message));
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                    mCodec.decode(bytes)
                            .match(
                                    envelope -> assertThat(envelope.message()).isNotNull(),
                                    error ->
                                            assertThat(error.kind())
                                                    .isEqualTo(ErrorKind.FRAME_INVALID));
                });
    }
}
