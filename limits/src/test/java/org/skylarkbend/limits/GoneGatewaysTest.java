package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.ReportEntry;
import org.skylarkbend.limits.LimitOwnerEffect.SendConfirmed;
import org.skylarkbend.limits.LimitOwnerMessage.LimitsPublished;
import org.skylarkbend.limits.LimitOwnerMessage.RouterMessageReceived;
import org.skylarkbend.limits.LimitOwnerMessage.Wake;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how long the tokens of gateways that are gone for good count. */
public class GoneGatewaysTest {
    private static final ObjectName CUSTOMER = ObjectName.of("one");
    private static final LimitPolicy POLICY = LimitPolicy.forGateways();
    private static final CustomerLimit LIMIT = new CustomerLimit(CUSTOMER, 9_000, 9_000);
    private static final long MAX_HELD_TOKENS = POLICY.maxHeldTokens(LIMIT);
    private static final List<RouterIdentity> GONE = List.of(gateway(1), gateway(2), gateway(3));
    private static final RouterIdentity STAYING = gateway(4);
    private static final long FILLED_MILLISECONDS = 2_000;
    private static final long FORGOTTEN_MILLISECONDS = 20_000;

    private final Map<RouterIdentity, Long> mSequences = new HashMap<>();
    private final Map<RouterIdentity, Long> mGrantedTokens = new HashMap<>();
    private LimitOwnerDecider mOwner;

    /** Lets three gateways take the whole burst. */
    @BeforeMethod
    public void grantTheWholeBurst() {
        mSequences.clear();
        mGrantedTokens.clear();
        LimitRegistry registry =
                new LimitRegistry(Set.of(GONE.get(0), GONE.get(1), GONE.get(2), STAYING));
        mOwner = new LimitOwnerDecider(POLICY, 1, registry, 0);
        mOwner.decide(new LimitsPublished(List.of(LIMIT)), 0);
        report(STAYING, 0, 0);
        GONE.forEach(gateway -> report(gateway, 0, 0));
        GONE.forEach(gateway -> report(gateway, MAX_HELD_TOKENS, FILLED_MILLISECONDS));
        pass(FILLED_MILLISECONDS, 2 * FILLED_MILLISECONDS);
        assertThat(mGrantedTokens.values()).hasSize(3).containsOnly(MAX_HELD_TOKENS);
    }

    /** Guards against a customer whose calls are refused because of gateways that are gone. */
    @Test
    public void theTokensOfGatewaysThatAreGoneDoNotKeepACustomerFromItsLimit() {
        report(STAYING, MAX_HELD_TOKENS, 2 * FILLED_MILLISECONDS);
        pass(2 * FILLED_MILLISECONDS, FORGOTTEN_MILLISECONDS);
        assertThat(mGrantedTokens).containsEntry(STAYING, MAX_HELD_TOKENS);
    }

    @Test
    public void theTokensOfGatewaysThatPauseForSomeSecondsCount() {
        report(STAYING, MAX_HELD_TOKENS, 2 * FILLED_MILLISECONDS);
        pass(2 * FILLED_MILLISECONDS, 5 * FILLED_MILLISECONDS);
        assertThat(mGrantedTokens).doesNotContainKey(STAYING);
    }

    @Test
    public void theTokensOfAGatewayThatIsBackCountAgain() {
        pass(2 * FILLED_MILLISECONDS, FORGOTTEN_MILLISECONDS);
        GONE.forEach(gateway -> report(gateway, 0, FORGOTTEN_MILLISECONDS));
        report(STAYING, MAX_HELD_TOKENS, FORGOTTEN_MILLISECONDS);
        pass(FORGOTTEN_MILLISECONDS, FORGOTTEN_MILLISECONDS + FILLED_MILLISECONDS);
        assertThat(mGrantedTokens).doesNotContainKey(STAYING);
    }

    /** Guards against a burst that is exceeded when silent gateways come back with their tokens. */
    @Test
    public void gatewaysThatComeBackHoldNoMoreThanTheBurstTogetherWithTheOthers() {
        List<RouterIdentity> others = List.of(STAYING, gateway(5), gateway(6));
        pass(2 * FILLED_MILLISECONDS, FORGOTTEN_MILLISECONDS);
        for (RouterIdentity other : others) {
            mOwner.decide(new LimitOwnerMessage.RouterRegistered(other), FORGOTTEN_MILLISECONDS);
            report(other, 0, FORGOTTEN_MILLISECONDS);
        }
        for (RouterIdentity other : others) {
            report(other, MAX_HELD_TOKENS, FORGOTTEN_MILLISECONDS + FILLED_MILLISECONDS);
        }
        pass(FORGOTTEN_MILLISECONDS, FORGOTTEN_MILLISECONDS + 2 * FILLED_MILLISECONDS);
        assertThat(mGrantedTokens.values().stream().mapToLong(Long::longValue).sum())
                .isLessThanOrEqualTo(LIMIT.burstTokens());
    }

    private static RouterIdentity gateway(int number) {
        return new RouterIdentity(ObjectName.of("front-" + number), 1);
    }

    /** Reports a gateway that has used nothing of its grants and waits for more tokens. */
    private void report(RouterIdentity gateway, long waitingTokens, long nowMilliseconds) {
        long sequence = mSequences.merge(gateway, 1L, Long::sum);
        ReportEntry entry =
                new ReportEntry(
                        CUSTOMER,
                        0,
                        0,
                        0,
                        mGrantedTokens.getOrDefault(gateway, 0L),
                        waitingTokens,
                        waitingTokens,
                        0,
                        false);
        Report report = new Report(1, sequence, sequence == 1, List.of(entry));
        decide(new RouterMessageReceived(gateway, report), nowMilliseconds);
    }

    /** Lets time pass in steps of a second. */
    private void pass(long fromMilliseconds, long toMilliseconds) {
        for (long now = fromMilliseconds; now <= toMilliseconds; now += 1_000) {
            decide(new Wake(), now);
        }
    }

    private void decide(LimitOwnerMessage message, long nowMilliseconds) {
        for (LimitOwnerEffect effect : mOwner.decide(message, nowMilliseconds)) {
            if (effect instanceof SendConfirmed send) {
                ((Grants) send.message())
                        .entries().stream()
                                .filter(entry -> entry.grantedTokens() > 0)
                                .map(GrantEntry::grantedTokens)
                                .forEach(tokens -> mGrantedTokens.put(send.router(), tokens));
            }
        }
    }
}
