package org.skylarkbend.forwarding.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.forwarding.ledger.LedgerMessage.ReserveCall;
import org.skylarkbend.forwarding.ledger.LedgerMessage.ReserveResponse;
import org.skylarkbend.forwarding.ledger.LedgerMessage.SettleCall;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests reservations and settlements of calls that must run at most once. */
public class LedgerDeciderTest {
    private static final LedgerLimits LIMITS = new LedgerLimits(3, 1_000);

    private LedgerDecider mLedger;

    @BeforeMethod
    public void emptyLedger() {
        mLedger = new LedgerDecider(LIMITS, LedgerSnapshot.empty());
    }

    @Test
    public void aCallIsReservedOnceAndItsResendIsInDoubtUntilItIsSettled() {
        assertThat(reserve("k", "a1", 0)).isEqualTo(ReserveVerdict.RESERVED);
        assertThat(reserve("k", "a2", 0)).isEqualTo(ReserveVerdict.IN_DOUBT);
        settle("k", "a1", CallOutcome.RAN, 201, 0);
        assertThat(mLedger.apply(reservation("k", "a3", "d"), 0))
                .isEqualTo(new ReserveResponse("a3", ReserveVerdict.ALREADY_RAN, 201));
    }

    @Test
    public void aReservationSentAgainAfterALostResponseGetsTheSameResponse() {
        assertThat(reserve("k", "a1", 0)).isEqualTo(ReserveVerdict.RESERVED);
        assertThat(reserve("k", "a1", 5)).isEqualTo(ReserveVerdict.RESERVED);
    }

    @Test
    public void aCallThatDidNotRunCanBeReservedAgainButNotByALateCopyOfItsReservation() {
        reserve("k", "a1", 0);
        settle("k", "a1", CallOutcome.NOT_RUN, 0, 0);
        assertThat(reserve("k", "a1", 0)).isEqualTo(ReserveVerdict.IN_DOUBT);
        assertThat(reserve("k", "a2", 0)).isEqualTo(ReserveVerdict.RESERVED);
    }

    @Test
    public void aSettlementOfAnotherReservationChangesNothing() {
        reserve("k", "a1", 0);
        settle("k", "a0", CallOutcome.NOT_RUN, 0, 0);
        assertThat(reserve("k", "a2", 0)).isEqualTo(ReserveVerdict.IN_DOUBT);
    }

    @Test
    public void aCallInDoubtStaysInDoubtUntilItsOutcomeIsCertain() {
        reserve("k", "a1", 0);
        settle("k", "a1", CallOutcome.IN_DOUBT, 0, 0);
        assertThat(reserve("k", "a1", 0)).isEqualTo(ReserveVerdict.IN_DOUBT);
        settle("k", "a1", CallOutcome.RAN, 200, 0);
        settle("k", "a1", CallOutcome.NOT_RUN, 0, 0);
        assertThat(reserve("k", "a2", 0)).isEqualTo(ReserveVerdict.ALREADY_RAN);
    }

    @Test
    public void aKeyUsedForAnotherRequestIsRefused() {
        reserve("k", "a1", 0);
        assertThat(verdict(mLedger.apply(reservation("k", "a2", "other"), 0)))
                .isEqualTo(ReserveVerdict.OTHER_REQUEST);
    }

    @Test
    public void aFullLedgerRefusesRatherThanForgets() {
        reserve("k1", "a1", 0);
        reserve("k2", "a2", 0);
        reserve("k3", "a3", 0);
        assertThat(reserve("k4", "a4", 999)).isEqualTo(ReserveVerdict.LEDGER_FULL);
        assertThat(reserve("k1", "a5", 999)).isEqualTo(ReserveVerdict.IN_DOUBT);
        assertThat(reserve("k4", "a4", 1_000)).isEqualTo(ReserveVerdict.RESERVED);
    }

    @Test
    public void aLeaderWhoseClockIsBehindForgetsNothingEarlyAndKeepsTheLedgersTime() {
        reserve("k1", "a1", 5_000);
        reserve("k2", "a2", 10);
        assertThat(reserve("k1", "a3", 5_999)).isEqualTo(ReserveVerdict.IN_DOUBT);
        assertThat(mLedger.snapshot().nowEpochMilliseconds()).isEqualTo(5_999);
    }

    /** Rebuilds the ledger from its snapshot at every step, as after a restart. */
    @Test
    public void atMostOneReservationOfACallRunsUnderAnyOrderOfResendsAndRestarts() {
        SeededRuns.forEachSeed(1, 2_000, LedgerDeciderTest::runRandomSchedule);
    }

    private static void runRandomSchedule(long seed) {
        Random random = new Random(seed);
        LedgerCodec codec = new LedgerCodec();
        LedgerDecider ledger = new LedgerDecider(LedgerLimits.defaults(), LedgerSnapshot.empty());
        Set<String> sent = new HashSet<>();
        Set<String> didNotRun = new HashSet<>();
        for (int step = 0; step < 40; step++) {
            String attempt = "a" + random.nextInt(6);
            LedgerMessage.Request request =
                    random.nextBoolean()
                            ? reservation("k", attempt, "d")
                            : randomSettlement(random, attempt, sent, didNotRun);
            LedgerMessage response = ledger.apply(request, step);
            if (response instanceof ReserveResponse r && r.verdict() == ReserveVerdict.RESERVED) {
                sent.add(attempt);
            }
            Set<String> mayHaveRun = new HashSet<>(sent);
            mayHaveRun.removeAll(didNotRun);
            assertThat(mayHaveRun).as("attempts that may have run").hasSizeLessThan(2);
            LedgerSnapshot restored =
                    codec.decodeSnapshot(codec.encodeSnapshot(ledger.snapshot()))
                            .fold(snapshot -> snapshot, error -> null);
            assertThat(restored).isEqualTo(ledger.snapshot());
            ledger = new LedgerDecider(LedgerLimits.defaults(), restored);
        }
    }

    /** Returns a random settlement. An attempt that was settled as not run keeps that outcome. */
    private static SettleCall randomSettlement(
            Random random, String attempt, Set<String> sent, Set<String> didNotRun) {
        CallOutcome outcome = CallOutcome.values()[random.nextInt(3)];
        if (didNotRun.contains(attempt)) {
            outcome = CallOutcome.NOT_RUN;
        }
        if (outcome == CallOutcome.NOT_RUN && sent.contains(attempt)) {
            didNotRun.add(attempt);
        }
        return new SettleCall(call("k"), attempt, outcome, 200);
    }

    @Test
    public void aMessageIsReadAsItWasWritten() {
        LedgerCodec codec = new LedgerCodec();
        LedgerMessage reserve = reservation("k", "a1", "d");
        LedgerMessage settle = new SettleCall(call("k"), "a1", CallOutcome.IN_DOUBT, 0);
        LedgerMessage response = new ReserveResponse("a1", ReserveVerdict.ALREADY_RAN, 200);
        assertThat(codec.decode(codec.encode(reserve))).isEqualTo(Result.success(reserve));
        assertThat(codec.decode(codec.encode(settle))).isEqualTo(Result.success(settle));
        assertThat(codec.decode(codec.encode(response))).isEqualTo(Result.success(response));
        assertThat(codec.decode(new byte[] {9}).isSuccess()).isFalse();
    }

    private ReserveVerdict reserve(String key, String attempt, long nowMilliseconds) {
        return verdict(mLedger.apply(reservation(key, attempt, "d"), nowMilliseconds));
    }

    private void settle(String key, String attempt, CallOutcome outcome, int status, long now) {
        mLedger.apply(new SettleCall(call(key), attempt, outcome, status), now);
    }

    private static ReserveVerdict verdict(LedgerMessage response) {
        return ((ReserveResponse) response).verdict();
    }

    private static ReserveCall reservation(String key, String attempt, String digest) {
        return new ReserveCall(call(key), attempt, digest);
    }

    private static CallIdentity call(String key) {
        return new CallIdentity(
                Optional.of(ObjectName.of("mairie")), ObjectName.of("bookings"), key);
    }
}
