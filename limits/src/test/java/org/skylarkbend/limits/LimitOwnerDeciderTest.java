package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.ReportEntry;
import org.skylarkbend.limits.LimitOwnerEffect.SendConfirmed;
import org.skylarkbend.limits.LimitOwnerMessage.LimitsPublished;
import org.skylarkbend.limits.LimitOwnerMessage.RouterMessageReceived;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what the owner of the limits sends when grants are lost. */
public class LimitOwnerDeciderTest {
    private static final ObjectName CUSTOMER = ObjectName.of("one");
    private static final RouterIdentity ROUTER = new RouterIdentity(ObjectName.of("front"), 1);
    private static final long TERM = 1;
    private static final long REQUESTED_TOKENS = 100;

    private LimitOwnerDecider mOwner;
    private long mSequence;

    @BeforeMethod
    public void createOwner() {
        mSequence = 0;
        mOwner =
                new LimitOwnerDecider(
                        LimitPolicy.forGateways(), TERM, new LimitRegistry(Set.of(ROUTER)), 0);
        CustomerLimit limit = new CustomerLimit(CUSTOMER, 10_000, 10_000);
        mOwner.decide(new LimitsPublished(List.of(limit)), 0);
    }

    /** Guards against a customer that is refused for as long as it sends small calls only. */
    @Test
    public void aGrantThatTheRouterDoesNotReportIsSentAgain() {
        List<GrantEntry> first = report(0, 1_000);
        assertThat(first).extracting(GrantEntry::grantedTokens).containsExactly(REQUESTED_TOKENS);
        assertThat(report(0, 1_100)).as("it may still be on its way").isEmpty();
        assertThat(report(0, 2_000)).isEqualTo(first);
        assertThat(report(0, 2_100)).as("sent again just now").isEmpty();
    }

    @Test
    public void aGrantThatTheRouterReportsIsNotSentAgain() {
        assertThat(report(0, 1_000)).hasSize(1);
        mSequence++;
        ReportEntry received =
                new ReportEntry(CUSTOMER, 0, REQUESTED_TOKENS, 0, REQUESTED_TOKENS, 0, 0, 0, false);
        assertThat(entries(new Report(TERM, mSequence, false, List.of(received)), 5_000)).isEmpty();
    }

    /** Guards against a router that cannot tell later grants from those it has given up. */
    @Test
    public void aRouterThatAsksIsToldTheTotalOfItsGrants() {
        assertThat(report(0, 1_000)).hasSize(1);
        mSequence++;
        ReportEntry asking =
                new ReportEntry(CUSTOMER, 0, 0, REQUESTED_TOKENS, REQUESTED_TOKENS, 0, 0, 0, true);
        assertThat(entries(new Report(TERM, mSequence, false, List.of(asking)), 5_000))
                .containsExactly(new GrantEntry(CUSTOMER, REQUESTED_TOKENS, false));
    }

    /** Reports a call that waits for its tokens, and the total of the grants received so far. */
    private List<GrantEntry> report(long receivedTokens, long nowMilliseconds) {
        mSequence++;
        ReportEntry entry =
                new ReportEntry(
                        CUSTOMER,
                        0,
                        0,
                        0,
                        receivedTokens,
                        REQUESTED_TOKENS,
                        REQUESTED_TOKENS,
                        0,
                        false);
        return entries(
                new Report(TERM, mSequence, mSequence == 1, List.of(entry)), nowMilliseconds);
    }

    private List<GrantEntry> entries(Report report, long nowMilliseconds) {
        return mOwner.decide(new RouterMessageReceived(ROUTER, report), nowMilliseconds).stream()
                .filter(SendConfirmed.class::isInstance)
                .map(effect -> (Grants) ((SendConfirmed) effect).message())
                .flatMap(grants -> grants.entries().stream())
                .toList();
    }
}
