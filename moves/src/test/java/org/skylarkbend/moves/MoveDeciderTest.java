package org.skylarkbend.moves;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;
import org.skylarkbend.moves.SimulatedRoute.Behavior;
import org.skylarkbend.moves.SimulatedRoute.Quality;
import org.skylarkbend.publishing.TrafficMove;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests moves to good and to bad versions while commanders are replaced at random times. */
public class MoveDeciderTest {
    private static final int GOOD_MOVES = 2_000;
    private static final int BAD_MOVES = 200;
    private static final int ENDPOINTS = 8;

    /**
     * Twice the stated false alarm rate, plus a margin for random variation over this number of
     * moves.
     */
    private static final int MAX_FALSE_ALARMS = 8;

    @DataProvider
    public Object[][] badVersions() {
        return new Object[][] {
            {"fails at once", bad((time, load, share) -> new Quality(0.3, 0.002, 1)), 400},
            {"sends empty responses", bad((time, load, share) -> new Quality(0.01, 0.3, 1)), 400},
            {"is slow", bad((time, load, share) -> new Quality(0.01, 0.002, 3)), 400},
            {
                "fails later",
                bad(
                        (time, load, share) ->
                                time > 30_000 ? new Quality(0.5, 0.002, 1) : Quality.GOOD),
                2_500
            },
            {
                "fails only under load",
                bad(
                        (time, load, share) ->
                                load * share > 15 ? new Quality(0.5, 0.002, 1) : Quality.GOOD),
                2_500
            },
        };
    }

    @Test
    public void goodVersionsTakeOverByTheTimeAndFewAreTakenBack() {
        AtomicInteger undone = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        SeededRuns.forEachSeed(
                1,
                GOOD_MOVES,
                seed -> {
                    SimulatedRoute route =
                            new SimulatedRoute(
                                    seed, ENDPOINTS, (time, load, share) -> Quality.GOOD);
                    MoveProgress end = route.run();
                    if (end.phase() != MovePhase.DONE) {
                        System.out.println(
                                "good move rolled back: seed " + seed + " " + end.reason());
                    }
                    undone.addAndGet(end.phase() == MovePhase.DONE ? 0 : 1);
                    boolean isLate =
                            route.takenOverAtMilliseconds()
                                    > SimulatedRoute.COMPLETE_BY_MILLISECONDS + 5_000;
                    late.addAndGet(isLate ? 1 : 0);
                    assertThat(route.largestUnprovenShare())
                            .isLessThanOrEqualTo(SimulatedRoute.TRIAL_SHARE);
                    assertThat(route.maxConcurrentLoads()).isBetween(1, 2);
                });
        System.out.println("good moves: " + GOOD_MOVES + " undone " + undone + " late " + late);
        assertThat(undone.get()).isLessThanOrEqualTo(MAX_FALSE_ALARMS);
        assertThat(late.get()).isLessThanOrEqualTo(MAX_FALSE_ALARMS);
    }

    @Test(dataProvider = "badVersions")
    public void aBadVersionIsTakenBackSoonAndLosesItsWholeShare(
            String name, Behavior behavior, int maxBadRequests) {
        AtomicLong badRequests = new AtomicLong();
        SeededRuns.forEachSeed(
                1,
                BAD_MOVES,
                seed -> {
                    SimulatedRoute route = new SimulatedRoute(seed, ENDPOINTS, behavior);
                    MoveProgress end = route.run();
                    assertThat(end.phase()).as(name).isEqualTo(MovePhase.UNDONE);
                    assertThat(end.reason()).isNotEmpty();
                    assertThat(end.share()).isZero();
                    assertThat(MoveDecider.effects(route.state()))
                            .noneMatch(MoveEffect.Load.class::isInstance);
                    badRequests.addAndGet(route.badRequests());
                });
        long mean = badRequests.get() / BAD_MOVES;
        System.out.println("version that " + name + ": bad requests per move " + mean);
        assertThat(mean).isLessThan(maxBadRequests);
    }

    @Test
    public void theOldVersionStaysLoadedUntilTheWatchEnds() {
        SimulatedRoute route = new SimulatedRoute(1, 2, (time, load, share) -> Quality.GOOD);
        assertThat(unloads(route.state())).isEmpty();
        route.run();
        assertThat(unloads(route.state()))
                .allMatch(unload -> unload.version().value().equals("old"))
                .hasSize(2);
    }

    @Test
    public void endpointsWhoseLoadFailedDoNotKeepTheOthersFromLoading() {
        SimulatedRoute route = new SimulatedRoute(1, 3, (time, load, share) -> Quality.GOOD);
        MoveState state =
                MoveDecider.decide(
                        route.state(),
                        new MoveMessage.Tick(),
                        SimulatedRoute.COMPLETE_BY_MILLISECONDS - 1);
        assertThat(loads(state)).containsExactly("engine-1", "engine-2");
        state = failed(failed(state, "engine-1"), "engine-2");
        assertThat(loads(state)).containsExactly("engine-3", "engine-1");
        state = failed(state, "engine-3");
        assertThat(loads(state)).containsExactly("engine-1", "engine-2");
    }

    @Test
    public void aVersionThatIsBadOnOneRouteOnlyIsTakenBackThereAlone() {
        ObjectName engine = ObjectName.of("engine-1");
        MoveState state =
                MoveDecider.decide(
                        MoveState.empty(),
                        new MoveMessage.PlansPublished(
                                List.of(plan("good", engine), plan("bad", engine))),
                        0);
        state = MoveDecider.decide(state, new MoveMessage.Loaded(engine, ObjectName.of("v2")), 1);
        Outcomes fine = new Outcomes(20, 0, 0, Outcomes.none().firstTokenCounts());
        Outcomes failing = new Outcomes(20, 10, 0, Outcomes.none().firstTokenCounts());
        MoveMessage reported =
                new MoveMessage.OutcomesReported(
                        List.of(
                                new OutcomeWindow(ObjectName.of("good"), fine, fine),
                                new OutcomeWindow(ObjectName.of("bad"), fine, failing)));
        state = MoveDecider.decide(state, reported, 2);
        state = MoveDecider.decide(state, reported, 3);
        assertThat(state.moves().get(ObjectName.of("good")).phase()).isEqualTo(MovePhase.MOVING);
        MoveProgress bad = state.moves().get(ObjectName.of("bad"));
        assertThat(bad.phase()).isEqualTo(MovePhase.UNDONE);
        assertThat(bad.reason()).isEqualTo("more errors than the old version");
        assertThat(unloads(state)).as("the good route still needs the version").isEmpty();
    }

    private static MovePlan plan(String route, ObjectName engine) {
        TrafficMove move =
                new TrafficMove(
                        ObjectName.of(route),
                        ObjectName.of(route),
                        ObjectName.of("v1"),
                        ObjectName.of("v2"),
                        10_000,
                        SimulatedRoute.TRIAL_SHARE,
                        0);
        return new MovePlan(move, List.of(engine), 1, List.of());
    }

    private static MoveState failed(MoveState state, String endpoint) {
        return MoveDecider.decide(
                state,
                new MoveMessage.LoadFailed(ObjectName.of(endpoint)),
                SimulatedRoute.COMPLETE_BY_MILLISECONDS - 1);
    }

    private static List<String> loads(MoveState state) {
        return MoveDecider.effects(state).stream()
                .filter(MoveEffect.Load.class::isInstance)
                .map(effect -> ((MoveEffect.Load) effect).endpoint().value())
                .toList();
    }

    private static List<MoveEffect.Unload> unloads(MoveState state) {
        return MoveDecider.effects(state).stream()
                .filter(MoveEffect.Unload.class::isInstance)
                .map(MoveEffect.Unload.class::cast)
                .toList();
    }

    private static Behavior bad(Behavior behavior) {
        return behavior;
    }
}
