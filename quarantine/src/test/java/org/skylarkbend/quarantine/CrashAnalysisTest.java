package org.skylarkbend.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which parts of prompts are found to crash engines, and which are not. */
public class CrashAnalysisTest {
    private static final PromptPart COMMON = part("common");
    private static final PromptPart TOPIC = part("topic");
    private static final PromptPart OTHER_TOPIC = part("other-topic");
    private static final PromptPart DEADLY = part("deadly");
    private static final long REPORTED = 1_000;

    private CrashAnalysis mAnalysis;
    private QuarantineState mState;
    private long mAnswers;

    @BeforeMethod
    public void createAnalysis() {
        mAnalysis = new CrashAnalysis();
        mState = QuarantineState.empty();
        mAnswers = 0;
    }

    @Test
    public void aPartThatWaitedAtTwoCrashesAndWasNeverAnsweredIsQuarantined() {
        crash("e1", 0, call("c1", COMMON, TOPIC, DEADLY));
        answered(100, COMMON, TOPIC);
        crash("e2", 500, call("c2", COMMON, TOPIC, DEADLY));
        answered(600, COMMON, TOPIC);
        assertThat(verdicts(REPORTED)).containsExactly(combination(DEADLY));
    }

    @Test
    public void oneCrashIsNoReasonForAQuarantine() {
        crash("e1", 0, call("c1", COMMON, DEADLY));
        answered(100, COMMON);
        assertThat(verdicts(REPORTED)).isEmpty();
    }

    @Test
    public void aCallThatWasSentOnAndCrashedASecondEngineIsEnough() {
        crash("e1", 0, call("c1", COMMON, DEADLY));
        crash("e2", 200, call("c1", COMMON, DEADLY));
        answered(300, COMMON);
        assertThat(verdicts(REPORTED)).containsExactly(combination(DEADLY));
    }

    /** Guards against a repeated call that crashes engines although its shared parts are sound. */
    @Test
    public void aCallThatIsRepeatedAndNeverAnsweredIsQuarantinedWithoutThePartsItShares() {
        PromptPart digest = part("call-digest");
        answered(-5_000, COMMON, TOPIC);
        crash("e1", 0, call("c1", COMMON, TOPIC, digest));
        answered(100, COMMON, TOPIC);
        crash("e2", 500, call("c2", COMMON, TOPIC, digest));
        answered(600, COMMON, TOPIC);
        assertThat(verdicts(REPORTED)).containsExactly(combination(digest));
    }

    /**
     * Guards against refusing a topic of sound calls in place of the one call that is the cause.
     */
    @Test
    public void aRepeatedCallIsQuarantinedAloneThoughOtherCallsOfItsTopicWaitedBesideIt() {
        PromptPart digest = part("call-digest");
        crash("e1", 0, call("c1", COMMON, TOPIC, digest), call("s1", COMMON, TOPIC, part("own")));
        crash("e2", 500, call("c2", COMMON, TOPIC, digest));
        answered(600, COMMON);
        assertThat(verdicts(REPORTED)).containsExactly(combination(TOPIC, digest));
        impose(combination(TOPIC, digest));
        assertThat(verdicts(REPORTED)).as("nothing is left to explain").isEmpty();
    }

    /** Guards against blaming a topic because the report about the cause comes last. */
    @Test
    public void aCrashCountsOnceAllGatewaysCanHaveReportedItsCalls() {
        PromptPart digest = part("call-digest");
        crash("e1", 0, call("c1", COMMON, TOPIC, digest));
        answered(400, COMMON);
        crash("e2", 500, call("s1", COMMON, TOPIC, part("own")));
        assertThat(verdicts(510)).isEmpty();
        crash("e2", 520, call("c2", COMMON, TOPIC, digest));
        answered(600, COMMON);
        assertThat(verdicts(REPORTED)).containsExactly(combination(TOPIC, digest));
    }

    /** Guards against two repeated calls that hide each other, as both are as suspicious. */
    @Test
    public void twoRepeatedCallsThatCrashDifferentEnginesAreBothQuarantined() {
        crash("e1", 0, call("a1", COMMON, part("call-a")));
        crash("e2", 200, call("b1", COMMON, part("call-b")));
        crash("e3", 400, call("a2", COMMON, part("call-a")));
        crash("e4", 600, call("b2", COMMON, part("call-b")));
        answered(700, COMMON);
        assertThat(verdicts(REPORTED))
                .containsExactlyInAnyOrder(
                        combination(part("call-a")), combination(part("call-b")));
    }

    /**
     * Guards against refusing a topic that two repeated calls share and that was answered before.
     */
    @Test
    public void aTopicThatWasAnsweredBeforeDoesNotHideTheCallsThatCrashEngines() {
        answered(-5_000, COMMON, TOPIC);
        crash("e1", 0, call("a1", COMMON, TOPIC, part("call-a")));
        crash("e2", 200, call("b1", COMMON, TOPIC, part("call-b")));
        crash("e3", 400, call("a2", COMMON, TOPIC, part("call-a")));
        crash("e4", 600, call("b2", COMMON, TOPIC, part("call-b")));
        answered(700, COMMON);
        assertThat(verdicts(REPORTED))
                .containsExactlyInAnyOrder(
                        combination(part("call-a")), combination(part("call-b")));
    }

    /** Guards against a call that goes on since it leaves too few engines to answer others. */
    @Test
    public void aCallThatWaitedAtFourCrashesIsQuarantinedAfterOneAnswer() {
        PromptPart digest = part("call-digest");
        for (int i = 0; i < CrashAnalysis.CRASHES_IF_DOUBTFUL; i++) {
            crash("e" + i, 100 * i, call("c" + i, COMMON, digest));
        }
        assertThat(verdicts(REPORTED)).as("without any answer").isEmpty();
        mAnswers += CrashAnalysis.ANSWERS_IF_CERTAIN;
        add(new CrashEvidence(List.of(), Map.of(COMMON, 0L), totalAnswers()), 800);
        assertThat(verdicts(REPORTED)).containsExactly(combination(digest));
    }

    @Test
    public void partsThatOnlyOccurTogetherAreQuarantinedTogether() {
        crash("e1", 0, call("c1", COMMON, TOPIC, DEADLY));
        crash("e2", 200, call("c2", COMMON, TOPIC, DEADLY));
        answered(300, COMMON);
        assertThat(verdicts(REPORTED)).containsExactly(combination(TOPIC, DEADLY));
    }

    @Test
    public void aCrashWithOneOfTwoSuspectedPartsShowsWhichOneIsTheCause() {
        crash("e1", 0, call("c1", COMMON, TOPIC, DEADLY));
        crash("e2", 200, call("c2", COMMON, TOPIC, DEADLY));
        answered(300, COMMON);
        impose(combination(TOPIC, DEADLY));
        crash("e3", 2_000, call("c3", COMMON, OTHER_TOPIC, DEADLY));
        answered(2_100, COMMON);
        assertThat(verdicts(2_100)).containsExactly(combination(DEADLY));
    }

    @Test
    public void callsThatWaitedBesideTheCauseAreNotQuarantined() {
        crash("e1", 0, call("c1", COMMON, DEADLY), call("c2", COMMON, TOPIC));
        crash("e2", 200, call("c1", COMMON, DEADLY), call("c3", COMMON, OTHER_TOPIC));
        answered(300, COMMON);
        assertThat(verdicts(REPORTED)).containsExactly(combination(DEADLY));
    }

    @Test
    public void aQuarantinedPartExplainsTheCrashesOfTheCallsBesideIt() {
        crash("e1", 0, call("c1", COMMON, DEADLY), call("c2", COMMON, TOPIC));
        crash("e2", 200, call("c1", COMMON, DEADLY));
        answered(300, COMMON);
        impose(combination(DEADLY));
        crash("e3", 400, call("c3", COMMON, DEADLY), call("c4", COMMON, TOPIC));
        assertThat(verdicts(REPORTED)).isEmpty();
        assertThat(mAnalysis.watched(mState, REPORTED)).isEmpty();
    }

    @Test
    public void onceThePartAloneIsQuarantinedThoseThatOccurredWithItAreCleared() {
        crash("e1", 0, call("c1", COMMON, TOPIC, DEADLY));
        crash("e2", 200, call("c2", COMMON, TOPIC, DEADLY));
        answered(300, COMMON);
        impose(combination(TOPIC, DEADLY));
        crash("e3", 2_000, call("c3", COMMON, OTHER_TOPIC, DEADLY));
        impose(combination(DEADLY));
        answered(2_100, COMMON);
        assertThat(verdicts(5_000)).isEmpty();
    }

    @Test
    public void aNewLeaderWaitsForTheReportsOfAllGateways() {
        mAnalysis.clearReports(1_000);
        crash("e1", 1_050, call("c2", COMMON, TOPIC));
        crash("e2", 1_200, call("c2", COMMON, TOPIC));
        answered(1_300, COMMON);
        assertThat(verdicts(1_900)).isEmpty();
        assertThat(verdicts(2_500)).containsExactly(combination(TOPIC));
    }

    @Test
    public void ifNothingIsAnsweredAnywhereNoPartIsToBlame() {
        for (int i = 0; i < 10; i++) {
            crash("e" + i, i * 200L, call("c" + i, COMMON));
        }
        assertThat(verdicts(5_000)).isEmpty();
    }

    @Test
    public void crashesOfManyEnginesAtOnceCountAsOne() {
        for (int i = 0; i < 10; i++) {
            crash("e" + i, i, call("c" + i, COMMON, TOPIC));
        }
        answered(200, COMMON);
        assertThat(verdicts(REPORTED)).isEmpty();
    }

    @Test
    public void aPartThatWasAnsweredShortlyBeforeIsQuarantinedAfterMoreCrashesOnly() {
        answered(-5_000, COMMON, TOPIC);
        for (int i = 0; i < CrashAnalysis.CRASHES_IF_DOUBTFUL; i++) {
            assertThat(verdicts(i * 1_000L)).as("after %d crashes", i).isEmpty();
            crash("e" + i, i * 1_000L, call("c" + i, COMMON, TOPIC));
            answered(i * 1_000L + 100, COMMON);
        }
        assertThat(verdicts(10_000)).containsExactly(combination(TOPIC));
    }

    @Test
    public void ofPartsThatOccurTogetherThoseThatWereNeverAnsweredAreQuarantined() {
        answered(-5_000, COMMON, TOPIC);
        crash("e1", 0, call("c1", COMMON, TOPIC, DEADLY));
        crash("e2", 200, call("c2", COMMON, TOPIC, DEADLY));
        answered(300, COMMON);
        assertThat(verdicts(REPORTED)).containsExactly(combination(DEADLY));
    }

    @Test
    public void ifTwoCallsWaitedAtBothCrashesNeitherIsQuarantined() {
        crash("e1", 0, call("c1", COMMON, DEADLY), call("c2", COMMON, TOPIC));
        crash("e2", 200, call("c1", COMMON, DEADLY), call("c2", COMMON, TOPIC));
        answered(300, COMMON);
        assertThat(verdicts(REPORTED)).isEmpty();
    }

    @Test
    public void verdictsWaitUntilAllGatewaysCanHaveReportedAnswers() {
        crash("e1", 0, call("c1", COMMON, DEADLY));
        crash("e2", 100, call("c1", COMMON, DEADLY));
        answered(200, COMMON);
        assertThat(verdicts(250)).isEmpty();
        assertThat(verdicts(300)).containsExactly(combination(DEADLY));
    }

    @Test
    public void repeatedReportsOfOneCrashCountOnce() {
        crash("e1", 0, call("c1", COMMON, DEADLY));
        crash("e1", 400, call("c1", COMMON, DEADLY));
        crash("e1", 800, call("c2", COMMON, DEADLY));
        answered(900, COMMON);
        assertThat(verdicts(2_000)).isEmpty();
    }

    @Test
    public void afterTheEndOfAQuarantineOneMoreCrashImposesItAgain() {
        crash("e1", 0, call("c1", COMMON, DEADLY));
        crash("e2", 200, call("c1", COMMON, DEADLY));
        answered(300, COMMON);
        impose(combination(DEADLY));
        lift(combination(DEADLY), 30_000);
        assertThat(verdicts(30_500)).as("old crashes no longer count").isEmpty();
        crash("e3", 31_000, call("c2", COMMON, DEADLY));
        answered(31_100, COMMON);
        assertThat(verdicts(31_300)).containsExactly(combination(DEADLY));
    }

    @Test
    public void afterTheEndOfAQuarantineAnAnswerClearsThePart() {
        impose(combination(TOPIC));
        lift(combination(TOPIC), 0);
        crash("e1", 1_000, call("c1", COMMON, TOPIC));
        answered(1_100, COMMON, TOPIC);
        assertThat(verdicts(2_000)).isEmpty();
    }

    @Test
    public void gatewaysAreAskedAboutSuspectedPartsOnly() {
        crash("e1", 0, call("c1", COMMON, DEADLY));
        answered(100, COMMON);
        assertThat(mAnalysis.watched(mState, 200)).containsExactly(DEADLY);
        assertThat(mAnalysis.watched(mState, 100_000)).as("after a while").isEmpty();
    }

    /** Guards against a part that crashes engine after engine because its calls wait in pairs. */
    @Test
    public void aPartIsQuarantinedAfterFourCrashesThoughItsRepeatedCallsWaitedInPairs() {
        SuspectCall a = call("a", COMMON, DEADLY, part("call-a"));
        SuspectCall b = call("b", COMMON, DEADLY, part("call-b"));
        SuspectCall c = call("c", COMMON, DEADLY, part("call-c"));
        SuspectCall d = call("d", COMMON, DEADLY, part("call-d"));
        crash("e1", 0, a, b);
        crash("e2", 200, a, b);
        crash("e3", 400, c, d);
        crash("e4", 600, c, d);
        answered(700, COMMON);
        assertThat(verdicts(REPORTED)).containsExactly(combination(DEADLY));
    }

    /** Guards against a part that goes on since two more calls waited beside each other. */
    @Test
    public void aPartIsQuarantinedIfTwoMoreOfItsCallsWaitedAtOneCrashAfterAQuarantine() {
        crash("e1", 0, call("a", COMMON, DEADLY, part("call-a")));
        crash("e2", 200, call("a", COMMON, DEADLY, part("call-a")));
        answered(300, COMMON);
        impose(combination(DEADLY, part("call-a")));
        crash(
                "e3",
                400,
                call("b", COMMON, DEADLY, part("call-b")),
                call("c", COMMON, DEADLY, part("call-c")));
        answered(700, COMMON);
        assertThat(verdicts(REPORTED)).containsExactly(combination(DEADLY));
    }

    /** Guards against a part that crashes all engines of a site before it is refused. */
    @Test
    public void aPartIsQuarantinedBeforeTwoPairsOfItsCallsHaveCrashedSevenEngines() {
        SuspectCall a = call("a", COMMON, DEADLY, part("call-a"));
        SuspectCall b = call("b", COMMON, DEADLY, part("call-b"));
        SuspectCall c = call("c", COMMON, DEADLY, part("call-c"));
        SuspectCall d = call("d", COMMON, DEADLY, part("call-d"));
        for (int i = 0; i < 7; i++) {
            boolean isFirstPair = i % 4 < 2;
            crash("e" + i, 200 * i, isFirstPair ? a : c, isFirstPair ? b : d);
        }
        answered(1_400, COMMON);
        assertThat(verdicts(1_400 + REPORTED)).containsExactly(combination(DEADLY));
    }

    private void crash(String incarnation, long atMilliseconds, SuspectCall... calls) {
        EndpointCrash crash = new EndpointCrash(incarnation, 0, List.of(calls));
        add(new CrashEvidence(List.of(crash), Map.of(), totalAnswers()), atMilliseconds);
    }

    /** Reports answers to calls with these parts, and enough others for a verdict. */
    private void answered(long atMilliseconds, PromptPart... parts) {
        Map<PromptPart, Long> served =
                Arrays.stream(parts)
                        .collect(java.util.stream.Collectors.toMap(part -> part, part -> 0L));
        mAnswers += CrashAnalysis.ANSWERS_IF_DOUBTFUL;
        add(new CrashEvidence(List.of(), served, totalAnswers()), atMilliseconds);
    }

    private void add(CrashEvidence evidence, long atMilliseconds) {
        mAnalysis.add("front", evidence, atMilliseconds);
    }

    private Map<String, Long> totalAnswers() {
        return Map.of("m", mAnswers);
    }

    private void impose(PartCombination combination) {
        mState = mState.after(new QuarantineMessage.Imposed(combination), 0);
    }

    private void lift(PartCombination combination, long atMilliseconds) {
        mState = mState.after(new QuarantineMessage.Lifted(combination), 0);
        mAnalysis.lifted(combination, atMilliseconds);
    }

    private Set<PartCombination> verdicts(long atMilliseconds) {
        return mAnalysis.verdicts(mState, atMilliseconds);
    }

    private static SuspectCall call(String id, PromptPart... parts) {
        return new SuspectCall(id, List.of(parts));
    }

    private static PartCombination combination(PromptPart... parts) {
        return PartCombination.of(List.of(parts));
    }

    private static PromptPart part(String id) {
        return new PromptPart("m", id);
    }
}
