package org.skylarkbend.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.skylarkbend.catalog.Relay;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/**
 * Plays gateways that lose and regain their links to all endpoints, several at a time and one cut
 * after another, without network.
 */
public class CutOffScheduleTest {
    private static final int SCHEDULES = 300;
    private static final int MAX_GATEWAYS = 12;
    private static final int ENDPOINTS = 9;
    private static final long STEP_MILLISECONDS = 50;
    private static final long CUT_MILLISECONDS = 8_000;
    private static final long CALM_MILLISECONDS = 4_000;
    private static final int CUTS = 3;

    /** Time after which a gateway that is cut off is to serve like others. */
    private static final long STABLE_MILLISECONDS = 3_000;

    /** Time until the offers of gateways have reached all others. */
    private static final long OFFER_DELAY_MILLISECONDS = 500;

    /** Guards against gateways that find no way though some gateway reaches the endpoints. */
    @Test
    public void aGatewayThatIsCutOffFindsARelayInTimeAndItsOwnLinksAgain() {
        SeededRuns.forEachSeed(1, SCHEDULES, seed -> new Schedule(seed, false).run());
    }

    /** Shows that the schedules find a gateway that asks no other one. */
    @Test
    public void theSchedulesFindAGatewayThatAsksNoOther() {
        int failed = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            try {
                new Schedule(seed, true).run();
            } catch (AssertionError expected) {
                failed++;
            }
        }
        assertThat(failed).isGreaterThan(SCHEDULES / 2);
    }

    /** A gateway, whose links to all endpoints may be cut. */
    private static final class Gateway {
        private final Relay mRelay;
        private final EndpointPaths mPaths;
        private boolean mCut;

        Gateway(int number, long seed) {
            mRelay = new Relay("10.0.0." + number, 7, "dc-" + number % 3, false);
            mPaths = new EndpointPaths(mRelay.dataCentre(), new Random(seed + number));
        }
    }

    private static final class Schedule {
        private final Random mRandom;
        private final boolean mWithoutRelays;
        private final List<Gateway> mGateways = new ArrayList<>();
        private final Map<Relay, Gateway> mByRelay = new HashMap<>();
        private final Map<Long, List<Relay>> mAnnounced = new HashMap<>();
        private final List<SocketAddress> mEndpoints = new ArrayList<>();
        private long mNowMilliseconds;

        Schedule(long seed, boolean withoutRelays) {
            mRandom = new Random(seed);
            mWithoutRelays = withoutRelays;
            for (int i = 0; i < ENDPOINTS; i++) {
                mEndpoints.add(SocketAddress.inetSocketAddress(80, "10.9.0." + i));
            }
            int gateways = 3 + mRandom.nextInt(MAX_GATEWAYS - 2);
            for (int i = 0; i < gateways; i++) {
                Gateway gateway = new Gateway(i, seed);
                gateway.mPaths.endpointsListed(new HashSet<>(mEndpoints));
                mGateways.add(gateway);
                mByRelay.put(gateway.mRelay, gateway);
            }
        }

        void run() {
            play(CALM_MILLISECONDS, Long.MAX_VALUE);
            for (int i = 0; i < CUTS; i++) {
                Set<Gateway> sound = Set.of(mGateways.get(mRandom.nextInt(mGateways.size())));
                for (Gateway gateway : mGateways) {
                    gateway.mCut = !sound.contains(gateway) && mRandom.nextInt(10) < 7;
                }
                play(CUT_MILLISECONDS, STABLE_MILLISECONDS);
                mGateways.forEach(gateway -> gateway.mCut = false);
                play(CALM_MILLISECONDS, STABLE_MILLISECONDS);
                for (Gateway gateway : mGateways) {
                    assertThat(gateway.mPaths.relayedEndpoints())
                            .as("endpoints that %s reaches by relays only", gateway.mRelay)
                            .isEmpty();
                }
            }
        }

        /** Plays calls, all of which must find a connection after a time. */
        private void play(long milliseconds, long strictAfterMilliseconds) {
            long beganMilliseconds = mNowMilliseconds;
            while (mNowMilliseconds - beganMilliseconds < milliseconds) {
                mNowMilliseconds += STEP_MILLISECONDS;
                announce();
                for (Gateway gateway : mGateways) {
                    gateway.mPaths
                            .dueChecks(mNowMilliseconds)
                            .forEach(endpoint -> connect(gateway, endpoint, true));
                    SocketAddress endpoint = mEndpoints.get(mRandom.nextInt(ENDPOINTS));
                    boolean isConnected =
                            connect(
                                    gateway,
                                    endpoint,
                                    gateway.mPaths
                                            .waysTo(endpoint, mNowMilliseconds)
                                            .startsDirectly());
                    if (mNowMilliseconds - beganMilliseconds > strictAfterMilliseconds) {
                        assertThat(isConnected)
                                .as("%s at %d ms", gateway.mRelay, mNowMilliseconds)
                                .isTrue();
                    }
                }
            }
        }

        private void announce() {
            List<Relay> open =
                    mGateways.stream()
                            .filter(gateway -> !gateway.mPaths.isCutOff())
                            .map(gateway -> gateway.mRelay)
                            .toList();
            mAnnounced.put(mNowMilliseconds, open);
            List<Relay> known = mAnnounced.remove(mNowMilliseconds - OFFER_DELAY_MILLISECONDS);
            if (known != null && !mWithoutRelays) {
                for (Gateway gateway : mGateways) {
                    gateway.mPaths.relaysListed(
                            known.stream().filter(r -> !r.equals(gateway.mRelay)).toList());
                }
            }
        }

        private boolean connect(Gateway gateway, SocketAddress endpoint, boolean startsDirectly) {
            if (startsDirectly && connectDirectly(gateway, endpoint)) {
                return true;
            }
            for (Relay relay : gateway.mPaths.waysTo(endpoint, mNowMilliseconds).relays()) {
                Gateway helper = mByRelay.get(relay);
                if (helper.mPaths.isCutOff() || helper.mPaths.isRelayed(endpoint)) {
                    gateway.mPaths.unsuitable(relay, mNowMilliseconds);
                } else if (!connectDirectly(helper, endpoint)) {
                    gateway.mPaths.unreachableFor(relay, endpoint, mNowMilliseconds);
                } else {
                    gateway.mPaths.reachedBy(relay, endpoint, mNowMilliseconds);
                    return true;
                }
            }
            return !startsDirectly && connectDirectly(gateway, endpoint);
        }

        private boolean connectDirectly(Gateway gateway, SocketAddress endpoint) {
            if (gateway.mCut) {
                gateway.mPaths.failedDirectly(endpoint);
            } else {
                gateway.mPaths.reachedDirectly(endpoint);
            }
            return !gateway.mCut;
        }
    }
}
