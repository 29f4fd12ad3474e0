package org.skylarkbend.gateway.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays gateways that send more calls than brittle endpoints have room for, without network. An
 * endpoint that has to refuse more calls in a second than it bears falls over.
 */
public class BrittleScheduleTest {
    private static final int SCHEDULES = 60;
    private static final String SERVICE = "desk";
    private static final long LENGTH_MILLISECONDS = 20_000;

    /** Time from the first warning until endpoints let fewer calls wait. */
    private static final long WARNED_MILLISECONDS = 3_000;

    private static final long DOWN_MILLISECONDS = 4_000;
    private static final long SECOND_MILLISECONDS = 1_000;

    /** A site of brittle endpoints. */
    private record Site(
            int gateways, int endpoints, int slots, long workMilliseconds, int refusalsBorne) {}

    @DataProvider
    private Object[][] sites() {
        return new Object[][] {
            {new Site(8, 3, 6, 21, 5)}, {new Site(6, 3, 6, 21, 3)}, {new Site(8, 8, 64, 900, 10)}
        };
    }

    /** Guards against endpoints that fall over since several gateways fill the same slots. */
    @Test(dataProvider = "sites")
    public void brittleEndpointsHardlyFallOverUnderMoreCallsThanTheyHaveRoomFor(Site site) {
        SeededRuns.forEachSeed(
                1,
                SCHEDULES,
                seed -> {
                    Schedule schedule = new Schedule(site, seed, true);
                    schedule.run();
                    assertThat(schedule.mFalls)
                            .as("falls")
                            .isLessThanOrEqualTo(2 + site.endpoints() / 10);
                    assertThat(schedule.mServedWhileBrittle)
                            .as("served of what all slots could serve")
                            .isGreaterThan(schedule.capacity() / 2);
                });
    }

    /** Shows that the schedules find gateways that do not heed what endpoints say. */
    @Test(dataProvider = "sites")
    public void theSchedulesFindGatewaysThatIgnoreTheWarning(Site site) {
        int failed = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            Schedule schedule = new Schedule(site, seed, false);
            schedule.run();
            failed += schedule.mFalls > 2 + site.endpoints() / 10 ? 1 : 0;
        }
        assertThat(failed).isGreaterThan(SCHEDULES / 2);
    }

    /** An endpoint, with the calls it runs and those that wait there. */
    private static final class Server {
        private final Endpoint mEndpoint;
        private final Map<Call, Long> mRunning = new HashMap<>();
        private final Deque<Call> mWaiting = new ArrayDeque<>();
        private final Deque<Long> mRefusals = new ArrayDeque<>();
        private long mDownUntilMilliseconds;

        Server(int number, int slots) {
            mEndpoint =
                    new Endpoint(
                            "e" + number,
                            SERVICE,
                            "h" + number,
                            1,
                            "z",
                            "v",
                            slots,
                            false,
                            1,
                            Map.of());
        }
    }

    private record Call(int id, EndpointSelector gateway) {}

    private static final class Schedule {
        private final Site mSite;
        private final boolean mHeeding;
        private final Random mRandom;
        private final List<Server> mServers = new ArrayList<>();
        private final List<EndpointSelector> mGateways = new ArrayList<>();
        private final Map<EndpointSelector, Map<String, EndpointWork>> mReported = new HashMap<>();
        private long mNowMilliseconds;
        private int mCalls;
        private int mFalls;
        private long mServedWhileBrittle;

        Schedule(Site site, long seed, boolean heeding) {
            mSite = site;
            mHeeding = heeding;
            mRandom = new Random(seed);
            for (int i = 0; i < site.endpoints(); i++) {
                mServers.add(new Server(i, site.slots()));
            }
            for (int i = 0; i < site.gateways(); i++) {
                EndpointSelector gateway = new EndpointSelector(mRandom::nextDouble, 60_000, "z");
                gateway.replace(
                        new Endpoints(mServers.stream().map(s -> s.mEndpoint).toList(), Set.of()),
                        0);
                gateway.brittleServices().gatewaysCounted(site.gateways());
                mGateways.add(gateway);
            }
        }

        /** Returns how many calls all slots can serve while endpoints let fewer wait. */
        long capacity() {
            return (LENGTH_MILLISECONDS - WARNED_MILLISECONDS)
                    * mSite.slots()
                    * mSite.endpoints()
                    / mSite.workMilliseconds();
        }

        void run() {
            long sumsEach = 100 + 4L * mSite.gateways();
            double callsEach =
                    1.5 * mSite.slots() * mSite.endpoints() / (double) mSite.workMilliseconds();
            double due = 0;
            while (mNowMilliseconds < LENGTH_MILLISECONDS) {
                mNowMilliseconds++;
                mServers.forEach(this::finish);
                if (mNowMilliseconds % sumsEach == 0) {
                    exchangeWork();
                }
                for (due += callsEach * mRandom.nextDouble() * 2; due >= 1; due--) {
                    call(mGateways.get(mRandom.nextInt(mGateways.size())));
                }
            }
        }

        /** Each gateway learns of the work that the others had at the exchange before. */
        private void exchangeWork() {
            for (EndpointSelector gateway : mGateways) {
                Map<String, EndpointWork> others = new HashMap<>();
                mReported.forEach(
                        (other, work) -> {
                            if (other != gateway) {
                                work.forEach((e, w) -> others.merge(e, w, EndpointWork::plus));
                            }
                        });
                gateway.otherWorkChanged(others, mNowMilliseconds);
            }
            mGateways.forEach(gateway -> mReported.put(gateway, gateway.ownWork()));
        }

        private void call(EndpointSelector gateway) {
            Set<String> tried = new HashSet<>();
            for (int attempt = 0; attempt < 2; attempt++) {
                Optional<EngineChoice> choice =
                        gateway.choose(SERVICE, new PriorAttempts(tried, false), mNowMilliseconds);
                if (choice.isEmpty()) {
                    return;
                }
                Endpoint endpoint = choice.get().endpoint();
                tried.add(endpoint.incarnation());
                if (arrive(server(endpoint), new Call(mCalls++, gateway))) {
                    return;
                }
            }
        }

        private Server server(Endpoint endpoint) {
            return mServers.stream().filter(s -> s.mEndpoint.equals(endpoint)).findFirst().get();
        }

        private boolean arrive(Server server, Call call) {
            EndpointSelector gateway = call.gateway();
            if (mNowMilliseconds < server.mDownUntilMilliseconds) {
                gateway.failed(server.mEndpoint, mNowMilliseconds);
                return false;
            }
            boolean isFull = server.mRunning.size() >= mSite.slots();
            int mayWait = mNowMilliseconds < WARNED_MILLISECONDS ? mSite.slots() : 1;
            if (isFull && server.mWaiting.size() >= mayWait) {
                say(gateway);
                gateway.refused(server.mEndpoint, mNowMilliseconds);
                refuse(server);
                return false;
            }
            gateway.sent(server.mEndpoint, 0, mNowMilliseconds);
            if (isFull) {
                server.mWaiting.add(call);
            } else {
                begin(server, call);
            }
            return true;
        }

        private void begin(Server server, Call call) {
            long milliseconds = (long) (mSite.workMilliseconds() * (0.5 + mRandom.nextDouble()));
            server.mRunning.put(call, mNowMilliseconds + milliseconds);
        }

        private void refuse(Server server) {
            server.mRefusals.add(mNowMilliseconds);
            while (server.mRefusals.peek() <= mNowMilliseconds - SECOND_MILLISECONDS) {
                server.mRefusals.poll();
            }
            boolean isBrittle = mNowMilliseconds >= WARNED_MILLISECONDS;
            if (isBrittle && server.mRefusals.size() > mSite.refusalsBorne()) {
                mFalls++;
                server.mDownUntilMilliseconds = mNowMilliseconds + DOWN_MILLISECONDS;
                server.mRefusals.clear();
                List<Call> lost = new ArrayList<>(server.mRunning.keySet());
                lost.addAll(server.mWaiting);
                lost.forEach(call -> end(server, call, false));
                server.mRunning.clear();
                server.mWaiting.clear();
            }
        }

        private void finish(Server server) {
            List<Call> done =
                    server.mRunning.entrySet().stream()
                            .filter(entry -> entry.getValue() <= mNowMilliseconds)
                            .map(Map.Entry::getKey)
                            .toList();
            for (Call call : done) {
                server.mRunning.remove(call);
                end(server, call, true);
                mServedWhileBrittle += mNowMilliseconds >= WARNED_MILLISECONDS ? 1 : 0;
                Optional.ofNullable(server.mWaiting.poll()).ifPresent(next -> begin(server, next));
            }
        }

        private void end(Server server, Call call, boolean isAnswered) {
            call.gateway().ended(server.mEndpoint);
            if (isAnswered) {
                say(call.gateway());
                call.gateway().succeeded(server.mEndpoint);
            } else {
                call.gateway().failed(server.mEndpoint, mNowMilliseconds);
            }
        }

        private void say(EndpointSelector gateway) {
            if (mHeeding) {
                gateway.brittleServices()
                        .reported(
                                SERVICE, OptionalLong.of(mSite.refusalsBorne()), mNowMilliseconds);
            }
        }
    }
}
