package org.skylarkbend.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.forwarding.ledger.CallIdentity;
import org.skylarkbend.forwarding.ledger.LedgerCodec;
import org.skylarkbend.forwarding.ledger.LedgerMessage;
import org.skylarkbend.forwarding.ledger.LedgerMessage.ReserveCall;
import org.skylarkbend.forwarding.ledger.LedgerMessage.ReserveResponse;
import org.skylarkbend.forwarding.ledger.ReserveVerdict;
import org.skylarkbend.limits.LimitCodec;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.TermBegan;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.usage.UsageCodec;
import org.skylarkbend.usage.UsageLine;
import org.skylarkbend.usage.UsageMessage;
import org.skylarkbend.usage.UsageMessage.Acknowledged;
import org.skylarkbend.usage.UsageMessage.GrantsUsedUp;
import org.skylarkbend.usage.UsageSubject;
import org.skylarkbend.usage.UsageTokens;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests a group of three control processes under loss of processes, disks and network connections.
 */
public class ControlFleetTest {
    private static final String PRICED_SET =
            "rates:\n"
                    + "  small: {tokens_per_second: 1, burst_tokens: 10,"
                    + " answer_price_per_million_tokens: 1000000}\n"
                    + "customers:\n  mairie: {rate: small, grant_per_month: 1000}\n";

    private static final String LIMITED_SET =
            "rates:\n  large: {tokens_per_second: 1000, burst_tokens: 1000}\n"
                    + "customers:\n  mairie: {rate: large}\n";

    private ControlFleet mFleet;
    private RouterFake mRouter;

    @BeforeMethod
    public void startFleet() throws Exception {
        mFleet = ControlFleet.started();
        mRouter = mFleet.router("entry-1");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() throws Exception {
        mFleet.close();
        assertThat(mRouter.revertedRevisions())
                .as("revisions that went back at the router")
                .isEmpty();
    }

    @Test
    public void aPublishedSetOutlivesTheStopOfAnyOneMember() throws Exception {
        for (int member = 0; member < ControlFleet.MEMBERS; member++) {
            mFleet.stop(member);
            long revision = mFleet.accepted("p" + member, member, setOf(member + 1));
            assertThat(revision).isEqualTo(member + 1);
            mFleet.start(member);
        }
        mRouter.await(() -> mRouter.revision() == ControlFleet.MEMBERS);
    }

    @Test
    public void aRestartOfAllThreeKeepsTheRevisionAndFirstResults() throws Exception {
        mFleet.accepted("a", 0, setOf(1));
        mFleet.accepted("b", 1, setOf(2));
        mFleet.stopAll();
        mFleet.startAll();
        assertThat(mFleet.accepted("a", 0, setOf(1))).isEqualTo(1);
        assertThat(mFleet.get(mFleet.leader(), "/v1/sets/current").body())
                .startsWith("# base_revision: 2\n")
                .contains("burst_tokens: 2");
    }

    @Test
    public void aSetIsInForceOnceTheRouterHasConfirmedIt() throws Exception {
        mRouter.confirms(false);
        mRouter.await(() -> mRouter.leases() > 0);
        mFleet.accepted("a", 0, setOf(1));
        mRouter.await(() -> mRouter.revision() == 1);
        int leases = mRouter.leases();
        mRouter.await(() -> mRouter.leases() > leases + 5);
        assertThat(inForceRevision()).isZero();
        mRouter.confirms(true);
        while (inForceRevision() < 1) {
            int before = mRouter.leases();
            mRouter.await(() -> mRouter.leases() > before);
        }
    }

    private long inForceRevision() throws Exception {
        return ControlFleet.json(mFleet.get(mFleet.leader(), "/v1/status"))
                .path("in_force_revision")
                .asLong();
    }

    @Test
    public void aSecondLossRightAfterTheRepairOfALostDiskLosesNothing() throws Exception {
        mFleet.accepted("a", 0, setOf(1));
        int first = mFleet.leader();
        String formerIdentity = mFleet.identity(first);
        mFleet.stop(first);
        mFleet.loseDisk(first);
        mFleet.start(first);
        mFleet.accepted("b", 1, setOf(2));
        mFleet.awaitVoter(first, formerIdentity);
        mFleet.stop((first + 1) % ControlFleet.MEMBERS);
        assertThat(mFleet.accepted("c", 2, setOf(3))).isEqualTo(3);
        assertThat(mFleet.accepted("a", 0, setOf(1))).isEqualTo(1);
    }

    @Test
    public void aLeaderThatIsCutOffAcceptsNothingAndGivesNoLeases() throws Exception {
        mFleet.accepted("a", 0, setOf(1));
        int cutOff = mFleet.leader();
        mFleet.cut(cutOff, true);
        HttpResponse<String> refused = mFleet.publishAt(cutOff, "lost", 1, setOf(9));
        assertThat(refused.statusCode()).isIn(307, 503, 504);
        long revision = mFleet.accepted("b", 1, setOf(2));
        assertThat(revision).isEqualTo(2);
        mRouter.await(() -> mRouter.revision() == 2);
        mFleet.cut(cutOff, false);
        HttpResponse<String> retried = mFleet.publish("lost", 1, setOf(9));
        assertThat(retried.statusCode()).as(retried.body()).isEqualTo(409);
        assertThat(ControlFleet.json(retried).path("error").path("winning_publish_id").asText())
                .isEqualTo("b");
    }

    @Test
    public void ofOperatorsThatRaceOnOneBaseOneWinsAndTheOthersLearnWho() throws Exception {
        int racers = 8;
        mFleet.leader();
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < racers; i++) {
            int racer = i;
            responses.add(CompletableFuture.supplyAsync(() -> race(racer)));
        }
        List<String> winners = new ArrayList<>();
        List<String> named = new ArrayList<>();
        for (int i = 0; i < racers; i++) {
            HttpResponse<String> response = responses.get(i).get(60, TimeUnit.SECONDS);
            if (response.statusCode() == 200) {
                winners.add("racer-" + i);
            } else {
                assertThat(response.statusCode()).isEqualTo(409);
                named.add(
                        ControlFleet.json(response)
                                .path("error")
                                .path("winning_publish_id")
                                .asText());
            }
        }
        assertThat(winners).hasSize(1);
        assertThat(named).hasSize(racers - 1).containsOnly(winners.get(0));
    }

    private HttpResponse<String> race(int racer) {
        try {
            return mFleet.publish("racer-" + racer, 0, setOf(racer + 1));
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    public void aResendThroughAnotherMemberAfterTheLeaderWasLostGetsTheFirstResult()
            throws Exception {
        int leader = mFleet.leader();
        HttpResponse<String> unheard = mFleet.publishAt(leader, "a", 0, setOf(1));
        mFleet.stop(leader);
        HttpResponse<String> retried = mFleet.publish("a", 0, setOf(1));
        assertThat(retried.body()).isEqualTo(unheard.body());
        assertThat(mFleet.accepted("b", 1, setOf(2))).isEqualTo(2);
    }

    @Test
    public void aRestartAfterHundredsOfPublishesKeepsTheNewestAndTheLedgerOfAnswers()
            throws Exception {
        int publishes = 300;
        for (int i = 0; i < publishes; i++) {
            mFleet.accepted("p" + i, i, setOf(i + 1));
        }
        mFleet.stopAll();
        mFleet.startAll();
        assertThat(mFleet.accepted("p7", 7, setOf(8))).isEqualTo(8);
        assertThat(mFleet.accepted("next", publishes, setOf(1))).isEqualTo(publishes + 1);
        mRouter.await(() -> mRouter.revision() == publishes + 1);
    }

    @Test
    public void aCallReservedBeforeTheLeaderWasLostIsInDoubtThroughTheNextLeader()
            throws Exception {
        assertThat(reserve("a1")).isEqualTo(ReserveVerdict.RESERVED);
        mFleet.stop(mFleet.leader());
        assertThat(reserve("a2")).isEqualTo(ReserveVerdict.IN_DOUBT);
        assertThat(reserve("a1")).isEqualTo(ReserveVerdict.RESERVED);
    }

    private ReserveVerdict reserve(String attempt) throws Exception {
        LedgerCodec codec = new LedgerCodec();
        CallIdentity call =
                new CallIdentity(Optional.empty(), ObjectName.of("bookings"), "order-17");
        byte[] request = codec.encode(new ReserveCall(call, attempt, "digest"));
        return mRouter.request(
                        new SliceMessage(LedgerMessage.SLICE, request),
                        payload ->
                                codec.decode(payload)
                                        .fold(
                                                message -> responseTo(attempt, message),
                                                error -> Optional.empty()))
                .verdict();
    }

    private static Optional<ReserveResponse> responseTo(String attempt, LedgerMessage message) {
        return message instanceof ReserveResponse response
                        && response.reservationId().equals(attempt)
                ? Optional.of(response)
                : Optional.empty();
    }

    /** The router sends a report again with each heartbeat, so that it arrives many times. */
    @Test
    public void usageIsCountedOnceThroughResendsAndAChangeOfLeaderAndStopsAtTheGrant()
            throws Exception {
        mFleet.accepted("a", 0, PRICED_SET);
        assertThat(report(1, 600)).isEqualTo(new Acknowledged(7, 1));
        mFleet.stop(mFleet.leader());
        assertThat(report(1, 600)).isEqualTo(new Acknowledged(7, 1));
        assertThat(report(2, 350)).isEqualTo(new Acknowledged(7, 2));
        JsonNode customer =
                ControlFleet.json(mFleet.get(mFleet.leader(), "/v1/usage"))
                        .path("customers")
                        .get(0);
        assertThat(customer.path("answer_tokens").asLong()).isEqualTo(950);
        assertThat(customer.path("spend").asDouble()).isEqualTo(950);
        mRouter.await(() -> mRouter.retainedMessage(UsageMessage.SLICE).isPresent());
        UsageMessage grants =
                new UsageCodec()
                        .decode(mRouter.retainedMessage(UsageMessage.SLICE).orElseThrow())
                        .fold(message -> message, error -> null);
        assertThat(((GrantsUsedUp) grants).customers()).containsExactly(ObjectName.of("mairie"));
        assertThat(mFleet.get(mFleet.leader(), "/v1/usage/forecast").body())
                .contains("fewer than 7 whole days");
        assertThat(mFleet.get(mFleet.leader(), "/v1/usage?month=x").statusCode()).isEqualTo(400);
    }

    private UsageMessage report(long sequence, long answerTokens) throws Exception {
        UsageSubject subject =
                new UsageSubject(
                        ObjectName.of("mairie"), ObjectName.of("k1"), ObjectName.of("desk"));
        long day = TimeUnit.MILLISECONDS.toDays(System.currentTimeMillis());
        UsageLine line = new UsageLine(subject, day, new UsageTokens(0, 0, answerTokens));
        UsageCodec codec = new UsageCodec();
        byte[] report =
                codec.encode(
                        new UsageMessage.Report(
                                ObjectName.of("entry-1"), 7, sequence, false, List.of(line)));
        return mRouter.request(
                new SliceMessage(UsageMessage.SLICE, report),
                payload ->
                        codec.decode(payload)
                                .fold(
                                        message -> responseTo(sequence, message),
                                        error -> Optional.empty()));
    }

    private static Optional<UsageMessage> responseTo(long sequence, UsageMessage message) {
        return message instanceof Acknowledged response && response.sequence() == sequence
                ? Optional.of(response)
                : Optional.empty();
    }

    @Test
    public void theLeaderGrantsTokensAndItsSuccessorBeginsANewTermThatKnowsTheRouter()
            throws Exception {
        mFleet.accepted("a", 0, LIMITED_SET);
        long term = ((TermBegan) requestLimits(limitReport(0, 0))).term();
        LimitMessage response = requestLimits(limitReport(term, 1));
        while (!(response instanceof Grants grants && !grants.entries().isEmpty())) {
            response = requestLimits(limitReport(term, 1));
        }
        assertThat(((Grants) response).entries().get(0).grantedTokens()).isPositive();
        mFleet.stop(mFleet.leader());
        assertThat(((TermBegan) requestLimits(limitReport(term, 2))).term()).isGreaterThan(term);
    }

    private LimitMessage requestLimits(LimitMessage.Report report) throws Exception {
        LimitCodec codec = new LimitCodec();
        return mRouter.request(
                new SliceMessage(LimitCodec.SLICE, codec.encode(report)),
                payload ->
                        codec.decode(payload)
                                .fold(
                                        message -> responseTo(report, message),
                                        error -> Optional.empty()));
    }

    /**
     * Returns the response to a report: grants if its term is current, otherwise the current term.
     */
    private static Optional<LimitMessage> responseTo(
            LimitMessage.Report report, LimitMessage message) {
        boolean grants =
                message instanceof Grants response
                        && response.term() == report.term()
                        && response.reportSequence() == report.sequence();
        boolean otherTerm =
                message instanceof TermBegan response && response.term() != report.term();
        return grants || otherTerm ? Optional.of(message) : Optional.empty();
    }

    private static LimitMessage.Report limitReport(long term, long sequence) {
        LimitMessage.ReportEntry wanted =
                new LimitMessage.ReportEntry(ObjectName.of("mairie"), 0, 0, 0, 0, 1, 1, 0, false);
        return new LimitMessage.Report(term, sequence, true, List.of(wanted));
    }

    @Test
    public void requestsThatAreNotWellFormedAreRefusedAndControlGoesOn() throws Exception {
        int leader = mFleet.leader();
        HttpRequest noCredential =
                mFleet.builder(leader, "/v1/status").setHeader("Authorization", "Bearer x").build();
        assertThat(mFleet.send(noCredential).statusCode()).isEqualTo(401);
        assertThat(mFleet.publishAt(leader, "a b", 0, setOf(1)).statusCode()).isEqualTo(400);
        assertThat(mFleet.publishAt(leader, "big", 0, "# " + "x".repeat(200_000)).statusCode())
                .isEqualTo(413);
        HttpResponse<String> invalid = mFleet.publishAt(leader, "bad", 0, "rates: 1\nextra: 2\n");
        assertThat(invalid.statusCode()).isEqualTo(422);
        assertThat(ControlFleet.json(invalid).path("error").path("problems")).hasSize(2);
        HttpRequest largeHeader =
                mFleet.builder(leader, "/v1/status").header("X-Large", "x".repeat(20_000)).build();
        assertThat(mFleet.send(largeHeader).statusCode()).isEqualTo(431);
        assertThat(mFleet.get(leader, "/v1/nothing").statusCode()).isEqualTo(404);
        assertThat(mFleet.get(leader, "/metrics").body()).contains("skylarkbend_");
        assertThat(mFleet.accepted("a", 0, setOf(1))).isEqualTo(1);
    }

    private static String setOf(int burstTokens) {
        return "rates:\n  small: {tokens_per_second: 1, burst_tokens: " + burstTokens + "}\n";
    }
}
