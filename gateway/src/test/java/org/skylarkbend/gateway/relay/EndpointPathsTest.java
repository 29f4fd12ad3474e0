package org.skylarkbend.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.net.SocketAddress;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.skylarkbend.catalog.Relay;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests in which order a gateway tries the ways to an endpoint. */
public class EndpointPathsTest {
    private static final SocketAddress A = SocketAddress.inetSocketAddress(1, "10.0.0.1");
    private static final SocketAddress B = SocketAddress.inetSocketAddress(1, "10.0.0.2");
    private static final SocketAddress C = SocketAddress.inetSocketAddress(1, "10.0.0.3");
    private static final Relay NEAR = new Relay("10.1.0.1", 7, "here", false);
    private static final Relay FAR = new Relay("10.2.0.1", 7, "there", false);

    private EndpointPaths mPaths;

    @BeforeMethod
    public void createPaths() {
        mPaths = new EndpointPaths("here", new Random(1));
        mPaths.endpointsListed(Set.of(A, B, C));
        mPaths.relaysListed(List.of(FAR, NEAR));
    }

    @Test
    public void theOwnWayComesFirstAndNearRelaysBeforeFarOnes() {
        assertThat(mPaths.waysTo(A, 0)).isEqualTo(new EndpointPaths.Ways(true, List.of(NEAR)));
        mPaths.failedDirectly(A);
        mPaths.failedDirectly(B);
        assertThat(mPaths.waysTo(A, 0))
                .isEqualTo(new EndpointPaths.Ways(false, List.of(NEAR, FAR)));
    }

    @Test
    public void anEndpointThatOnlyARelayReachesIsConnectedToThroughItFirst() {
        assertThat(mPaths.reachedBy(FAR, A, 0)).isTrue();
        assertThat(mPaths.reachedBy(FAR, A, 0)).as("known already").isFalse();
        assertThat(mPaths.waysTo(A, 0))
                .isEqualTo(new EndpointPaths.Ways(false, List.of(FAR, NEAR)));
        assertThat(mPaths.waysTo(B, 0).startsDirectly()).isTrue();
    }

    @Test
    public void aGatewayThatHasLostTwoEndpointsAndReachedNoneSinceIsCutOff() {
        mPaths.reachedBy(NEAR, A, 0);
        mPaths.reachedDirectly(C);
        mPaths.reachedBy(NEAR, B, 0);
        assertThat(mPaths.isCutOff()).isFalse();
        mPaths.reachedBy(NEAR, A, 0);
        assertThat(mPaths.isCutOff()).isTrue();
        assertThat(mPaths.waysTo(C, 0).startsDirectly()).isFalse();
    }

    /** Guards against gateways that are cut off together and ask one another for ever. */
    @Test
    public void aGatewayThatCouldNotConnectToTwoEndpointsIsCutOffThoughNoRelayHelps() {
        mPaths.failedDirectly(A);
        assertThat(mPaths.isCutOff()).isFalse();
        mPaths.failedDirectly(B);
        assertThat(mPaths.isCutOff()).isTrue();
    }

    /** Guards against a gateway that thinks it is cut off though it reaches other endpoints. */
    @Test
    public void aGatewayThatIsCutOffTriesAllEndpointsInTurnUntilItReachesOne() {
        mPaths.reachedBy(NEAR, A, 0);
        mPaths.reachedBy(NEAR, B, 0);
        long nowMilliseconds = EndpointPaths.CHECK_MILLISECONDS;
        assertThat(mPaths.dueChecks(nowMilliseconds)).hasSize(1);
        assertThat(mPaths.dueChecks(nowMilliseconds)).hasSize(1);
        assertThat(mPaths.dueChecks(nowMilliseconds)).hasSize(1);
        assertThat(mPaths.dueChecks(nowMilliseconds)).isEmpty();
        assertThat(mPaths.reachedDirectly(C)).as("reached by relays only").isFalse();
        assertThat(mPaths.isCutOff()).isFalse();
        assertThat(mPaths.waysTo(A, nowMilliseconds).startsDirectly()).isFalse();
        assertThat(mPaths.dueChecks(2 * nowMilliseconds)).containsExactlyInAnyOrder(A, B);
        assertThat(mPaths.reachedDirectly(A)).isTrue();
        assertThat(mPaths.waysTo(A, nowMilliseconds).startsDirectly()).isTrue();
    }

    /** Guards against relays that are asked again and again for an endpoint that has ended. */
    @Test
    public void noRelayIsAskedForAWhileForAnEndpointThatOneCouldNotReach() {
        mPaths.unreachableFor(NEAR, A, 0);
        assertThat(mPaths.waysTo(A, 1).relays()).isEmpty();
        assertThat(mPaths.waysTo(B, 1).relays()).isNotEmpty();
        long firstMilliseconds = EndpointPaths.ENDPOINT_BACKOFF_MILLISECONDS;
        assertThat(mPaths.waysTo(A, firstMilliseconds).relays()).isNotEmpty();
        mPaths.unreachableFor(FAR, A, firstMilliseconds);
        assertThat(mPaths.waysTo(A, 3 * firstMilliseconds - 1).relays()).isEmpty();
        assertThat(mPaths.waysTo(A, 3 * firstMilliseconds).relays()).isNotEmpty();
    }

    /** Guards against a relay that is cut off itself and does not know it yet. */
    @Test
    public void aRelayThatCouldNotReachWhatAnotherOneReachesIsAskedLast() {
        mPaths.unreachableFor(NEAR, A, 0);
        mPaths.reachedBy(FAR, A, 1);
        assertThat(mPaths.waysTo(A, 2).relays()).containsExactly(FAR);
        assertThat(mPaths.waysTo(A, 1 + EndpointPaths.RELAY_BACKOFF_MILLISECONDS).relays())
                .containsExactly(FAR, NEAR);
    }

    /** Guards against gateways without a relay while the last ones are stopped one by one. */
    @Test
    public void aRelayThatIsAboutToEndIsAskedLast() {
        Relay leaving = new Relay(NEAR.host(), NEAR.port(), NEAR.dataCentre(), true);
        mPaths.reachedBy(leaving, A, 0);
        mPaths.relaysListed(List.of(leaving, FAR));
        assertThat(mPaths.waysTo(A, 1).relays()).containsExactly(FAR, leaving);
        mPaths.relaysListed(List.of(leaving));
        assertThat(mPaths.waysTo(A, 1).relays()).containsExactly(leaving);
    }

    @Test
    public void aRelayThatDoesNotRespondIsLeftOutForAWhile() {
        mPaths.unsuitable(NEAR, 0);
        assertThat(mPaths.waysTo(A, 1).relays()).containsExactly(FAR);
        mPaths.unsuitable(FAR, 0);
        assertThat(mPaths.waysTo(A, 1)).isEqualTo(new EndpointPaths.Ways(true, List.of()));
        assertThat(mPaths.areRelaysUseless(1)).isTrue();
        assertThat(mPaths.areRelaysUseless(EndpointPaths.RELAY_BACKOFF_MILLISECONDS)).isFalse();
    }

    @Test
    public void endpointsThatAreNoLongerListedAreForgotten() {
        mPaths.reachedBy(NEAR, A, 0);
        mPaths.reachedBy(NEAR, B, 0);
        mPaths.endpointsListed(Set.of(B, C));
        assertThat(mPaths.isCutOff()).isFalse();
        assertThat(mPaths.isListed(A)).isFalse();
        assertThat(mPaths.relayedEndpoints()).containsExactly(B);
    }
}
