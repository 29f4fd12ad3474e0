package org.skylarkbend.publishing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.testng.annotations.Test;

/** Checks the validation of references and consistency within a set. */
public class SetCheckerTest {
    private static final String DEADLINE = "2026-12-31T18:00:00Z";
    private static final long DEADLINE_EPOCH_MILLISECONDS = Instant.parse(DEADLINE).toEpochMilli();
    private static final String MOVE =
            "moves:\n  m1: {route: desk, from: v1, to: v2, complete_by: " + DEADLINE + "}\n";

    @Test
    public void aSetWithADanglingNameIsRefusedWithLineAndPath() {
        String yaml = SampleSets.VALID.replace("mairie: {rate: small}", "mairie: {rate: large}");
        assertThat(SampleSets.problemsOf(yaml))
                .isEqualTo("set:4: customers.mairie.rate: no object \"large\" exists in this set");
    }

    @Test
    public void everyProblemOfASetIsListed() {
        String yaml =
                SampleSets.VALID.replace("rate: small", "rate: large").replace("pool: p, v", "v")
                        + "extra: 1\n";
        assertThat(SampleSets.problemsOf(yaml).lines()).hasSizeGreaterThan(2);
    }

    @Test
    public void trialSharesOfOnePoolAboveOneHundredPercentAreRefused() {
        String yaml =
                SampleSets.VALID
                        + "moves:\n"
                        + move("m1", "desk", "v1", "v3", "0.6")
                        + move("m2", "specs", "v2", "v3", "0.5");
        assertThat(SampleSets.problemsOf(yaml))
                .isEqualTo(
                        "set:19: moves.m2.trial_share: the trials on the pool \"p\" add up to"
                                + " 110 %");
    }

    @Test
    public void movesOfOnePoolThatFormACycleAreRefused() {
        String yaml =
                SampleSets.VALID
                        + "moves:\n"
                        + move("m1", "desk", "v1", "v2", "0.1")
                        + move("m2", "specs", "v2", "v1", "0.1");
        assertThat(SampleSets.problemsOf(yaml))
                .contains("set:18: moves.m1.to: the moves on the pool \"p\" lead from \"v1\"")
                .contains("set:19: moves.m2.to: the moves on the pool \"p\" lead from \"v2\"");
    }

    /** Four engines that take 1,000 ms each need 2,000 ms with two concurrent loads. */
    @Test
    public void aMoveWhoseDeadlineCannotBeMetWithTwoConcurrentLoadsIsRefused() {
        String yaml = SampleSets.VALID + MOVE;
        assertThat(SampleSets.problemsOf(yaml, before(2_000))).isEmpty();
        assertThat(SampleSets.problemsOf(yaml, before(1_999)))
                .isEqualTo(
                        "set:18: moves.m1.complete_by: cannot be met: loading takes at least 2000"
                                + " ms with two concurrent loads, and 1999 ms are left");
    }

    @Test
    public void anOldMoveDoesNotKeepLaterSetsFromBeingPublished() {
        String yaml = SampleSets.VALID + MOVE;
        SetContext afterwards =
                new SetContext(SampleSets.read(yaml), DEADLINE_EPOCH_MILLISECONDS + 1);
        assertThat(SampleSets.problemsOf(yaml, afterwards)).isEmpty();
        SetContext withoutCurrent =
                new SetContext(PublishedSet.empty(), DEADLINE_EPOCH_MILLISECONDS + 1);
        assertThat(SampleSets.problemsOf(yaml, withoutCurrent)).contains("0 ms are left");
    }

    @Test
    public void theDifferenceOfTwoSetsNamesWhatWasAddedChangedAndRemoved() {
        PublishedSet before = SampleSets.read(SampleSets.VALID);
        PublishedSet after =
                SampleSets.read(
                        SampleSets.VALID
                                        .replace("burst_tokens: 1000", "burst_tokens: 2000")
                                        .replace("  v3: {model: m, load_milliseconds: 1000}\n", "")
                                + "keys:\n  k1: {customer: mairie, digest_sha256: "
                                + "ab".repeat(32)
                                + "}\n");
        assertThat(SetDifference.between(before, after).changes())
                .extracting(change -> change.kind() + " " + change.section() + " " + change.name())
                .containsExactly("CHANGED rates small", "ADDED keys k1", "REMOVED versions v3");
        assertThat(SetDifference.between(after, after).isEmpty()).isTrue();
    }

    private static SetContext before(long leftMilliseconds) {
        return new SetContext(PublishedSet.empty(), DEADLINE_EPOCH_MILLISECONDS - leftMilliseconds);
    }

    private static String move(String name, String route, String from, String to, String share) {
        return String.format(
                "  %s: {route: %s, from: %s, to: %s, trial_share: %s, complete_by: %s}%n",
                name, route, from, to, share, DEADLINE);
    }
}
