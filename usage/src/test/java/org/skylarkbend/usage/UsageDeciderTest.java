package org.skylarkbend.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.publishing.Customer;
import org.skylarkbend.publishing.Rate;
import org.skylarkbend.testing.SeededRuns;
import org.skylarkbend.usage.UsageMessage.Acknowledged;
import org.skylarkbend.usage.UsageMessage.Report;
import org.skylarkbend.usage.UsageSnapshot.UsageGap;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the counting of settled tokens, spend and grants. */
public class UsageDeciderTest {
    private static final ObjectName ROUTER = ObjectName.of("entry-1");
    private static final ObjectName CUSTOMER = ObjectName.of("mairie");
    private static final UsageSubject SUBJECT =
            new UsageSubject(CUSTOMER, ObjectName.of("k1"), ObjectName.of("desk"));
    private static final long TODAY = 20_000;
    private static final long MONTH = MonthNumbers.ofEpochDay(TODAY);

    private final UsageCodec mCodec = new UsageCodec();
    private UsageDecider mUsage;

    @BeforeMethod
    public void nothingCounted() {
        mUsage = new UsageDecider(UsageSnapshot.empty());
    }

    @Test
    public void aReportThatIsSentAgainIsAcknowledgedAndNotCounted() {
        assertThat(apply(report(1, 1, 5))).isEqualTo(new Acknowledged(1, 1));
        assertThat(apply(report(1, 1, 5))).isEqualTo(new Acknowledged(1, 1));
        assertThat(answerTokens()).isEqualTo(5);
    }

    @Test
    public void aReportThatComesTooEarlyIsAnsweredWithTheLastCountedOne() {
        apply(report(1, 1, 5));
        assertThat(apply(report(1, 3, 7))).isEqualTo(new Acknowledged(1, 1));
        assertThat(answerTokens()).isEqualTo(5);
    }

    @Test
    public void aRouterThatRestartsWithoutItsLastReportLeavesAGapThatIsSaid() {
        apply(report(1, 1, 5));
        apply(report(2, 1, 7));
        assertThat(answerTokens()).isEqualTo(12);
        assertThat(mUsage.snapshot().gaps()).containsExactly(new UsageGap(ROUTER, 1, TODAY));
    }

    @Test
    public void aRouterThatEndsInOrderLeavesNoGap() {
        apply(new Report(ROUTER, 1, 1, true, List.of()));
        apply(report(2, 1, 7));
        assertThat(mUsage.snapshot().gaps()).isEmpty();
    }

    @Test
    public void aLateReportOfAFormerIncarnationIsStillCountedOnce() {
        apply(report(1, 1, 5));
        apply(report(2, 1, 7));
        apply(report(1, 2, 3));
        apply(report(1, 2, 3));
        assertThat(answerTokens()).isEqualTo(15);
    }

    @Test
    public void aDayThatCannotBeRightIsCountedAsToday() {
        UsageLine line = new UsageLine(SUBJECT, TODAY + 400, new UsageTokens(0, 0, 9));
        apply(new Report(ROUTER, 1, 1, false, List.of(line)));
        assertThat(answerTokens()).isEqualTo(9);
    }

    @Test
    public void oldDaysAndMonthsAreForgotten() {
        apply(report(1, 1, 5));
        mUsage.apply(report(1, 2, 6), TODAY + 1_000);
        assertThat(answerTokens()).isZero();
        assertThat(mUsage.snapshot().days()).hasSize(1);
    }

    /** Loses, repeats and reorders reports, and restarts the state and the routers at random. */
    @Test
    public void everyAcknowledgedReportIsCountedOnceUnderAnyLossRepeatAndRestart() {
        SeededRuns.forEachSeed(1, 1_000, this::runRandomNetwork);
    }

    private void runRandomNetwork(long seed) {
        Random random = new Random(seed);
        UsageDecider usage = new UsageDecider(UsageSnapshot.empty());
        List<Report> inFlight = new ArrayList<>();
        long expectedTokens = 0;
        long incarnation = 1;
        long acknowledged = 0;
        for (int step = 0; step < 80; step++) {
            long tokens = 1L << (acknowledged % 20);
            inFlight.add(report(incarnation, acknowledged + 1, tokens));
            Report arriving = inFlight.get(random.nextInt(inFlight.size()));
            long before = tokensIn(usage);
            Acknowledged response = usage.apply(arriving, TODAY);
            boolean counted = tokensIn(usage) > before;
            if (counted) {
                expectedTokens += arriving.lines().get(0).tokens().answerTokens();
                assertThat(response.sequence()).isEqualTo(arriving.sequence());
            }
            if (response.incarnation() == incarnation && random.nextBoolean()) {
                acknowledged = Math.max(acknowledged, response.sequence());
            }
            if (random.nextInt(20) == 0) {
                incarnation++;
                acknowledged = 0;
            }
            usage = new UsageDecider(encodeAndDecode(usage.snapshot()));
            assertThat(tokensIn(usage)).isEqualTo(expectedTokens);
            assertThat(distinctCounted(usage)).isEqualTo(expectedTokens);
        }
    }

    /** Returns the total tokens of the counted reports of all incarnations. */
    private static long distinctCounted(UsageDecider usage) {
        return usage.snapshot().routers().stream()
                .mapToLong(
                        router -> {
                            long tokens = 0;
                            for (long i = 0; i < router.sequence(); i++) {
                                tokens += 1L << (i % 20);
                            }
                            return tokens;
                        })
                .sum();
    }

    private UsageSnapshot encodeAndDecode(UsageSnapshot snapshot) {
        Result<UsageSnapshot> read = mCodec.decodeSnapshot(mCodec.encodeSnapshot(snapshot));
        assertThat(read).isEqualTo(Result.success(snapshot));
        return snapshot;
    }

    @Test
    public void messagesAreReadAsTheyWereWritten() {
        UsageMessage report = report(1, 2, 3);
        UsageMessage grants = new UsageMessage.GrantsUsedUp(MONTH, List.of(CUSTOMER));
        assertThat(mCodec.decode(mCodec.encode(report))).isEqualTo(Result.success(report));
        assertThat(mCodec.decode(mCodec.encode(grants))).isEqualTo(Result.success(grants));
        assertThat(mCodec.decode(new byte[] {1, 2}).isSuccess()).isFalse();
    }

    @Test
    public void cachedTokensCostTheirOwnPrice() {
        Rate rate = new Rate(ObjectName.of("r"), 1, 1, "XOF", 100, 10, 1_000);
        UsageTokens tokens = new UsageTokens(3_000_000, 1_000_000, 500_000);
        assertThat(Spend.of(tokens, rate)).isEqualTo(200 + 10 + 500);
    }

    @Test
    public void aGrantIsUsedUpBeforeUnseenWorkCanExceedIt() {
        Rate rate = new Rate(ObjectName.of("r"), 100, 3_000, "XOF", 0, 0, 1e6);
        Customer customer = new Customer(CUSTOMER, ObjectName.of("r"), 200_000, 1);
        assertThat(Spend.isUsedUp(new UsageTokens(0, 0, 189_999), customer, rate)).isFalse();
        assertThat(Spend.isUsedUp(new UsageTokens(0, 0, 190_000), customer, rate)).isTrue();
        Customer small = new Customer(CUSTOMER, ObjectName.of("r"), 1_000, 1);
        assertThat(Spend.isUsedUp(new UsageTokens(0, 0, 1), small, rate)).isFalse();
        assertThat(Spend.isUsedUp(new UsageTokens(0, 0, 900), small, rate)).isTrue();
    }

    private Acknowledged apply(Report report) {
        return mUsage.apply(report, TODAY);
    }

    private long answerTokens() {
        return tokensIn(mUsage);
    }

    private static long tokensIn(UsageDecider usage) {
        return usage.tokensOf(CUSTOMER, MONTH).answerTokens();
    }

    private static Report report(long incarnation, long sequence, long answerTokens) {
        UsageLine line = new UsageLine(SUBJECT, TODAY, new UsageTokens(0, 0, answerTokens));
        return new Report(ROUTER, incarnation, sequence, false, List.of(line));
    }
}
