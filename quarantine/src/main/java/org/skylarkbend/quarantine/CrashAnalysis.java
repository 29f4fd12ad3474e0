package org.skylarkbend.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.skylarkbend.quarantine.Suspect.Wait;

/**
 * Finds the parts of prompts that crash engines, from the reports of all gateways.
 *
 * <p>A part that crashes every engine that begins to answer it is never answered, and waits at each
 * engine that it crashes. So a part is suspected for each crash at which it waited and after which
 * no call with it was answered. One answer clears it. Parts that are shared by sound calls are
 * cleared soon, which singles out what the crashes have in common.
 *
 * <p>Crashes at nearly the same time count as one, because they rather have a common cause. And
 * there must have been answers to other prompts: while engines answer little, the absence of
 * answers says little about a part. The state is confined to one task.
 */
public final class CrashAnalysis {
    /** Crashes after which the most suspicious parts are quarantined. */
    static final int CRASHES = 2;

    /**
     * Crashes after which parts are quarantined although they were answered shortly before the
     * first one, or although others are as suspicious.
     */
    static final int CRASHES_IF_DOUBTFUL = 4;

    /** Answers to other prompts since the first crash that are needed for a quarantine. */
    static final int ANSWERS = 5;

    /**
     * Answers to other prompts since the last crash that are needed if there is doubt. Of so many,
     * some would contain a part that is in a quarter of all prompts.
     */
    static final int ANSWERS_IF_DOUBTFUL = 20;

    /** Answers that are enough if one suspect waited at so many crashes as for doubtful ones. */
    static final int ANSWERS_IF_CERTAIN = 1;

    /**
     * Time that all gateways need to report which calls waited at a crash. Before it, a part that
     * calls at several gateways share seems to have waited more often than the one call that did.
     */
    private static final long SETTLE_MILLISECONDS = 100;

    /** Time that all gateways need to report that they answered calls with a watched part. */
    private static final long REPORT_MILLISECONDS = 300;

    /** Time that all gateways need to repeat their reports. They do it twice a second. */
    private static final long REPEAT_MILLISECONDS = 1_500;

    /** Time for which a crash counts, and for which an answer before a crash speaks for a part. */
    private static final long MEMORY_MILLISECONDS = 60_000;

    private static final int MAX_CRASHES = 256;
    private static final int MAX_WATCHED = 256;

    /** A crash with the calls that waited at the endpoint, over all gateways. */
    private static final class Crash {
        private long mAtMilliseconds;
        private final Map<String, SuspectCall> mCalls = new HashMap<>();

        Crash(long atMilliseconds) {
            mAtMilliseconds = atMilliseconds;
        }

        List<List<PromptPart>> partsOfCalls() {
            return mCalls.values().stream().map(SuspectCall::parts).toList();
        }

        boolean hasCallWith(PartCombination combination) {
            return mCalls.values().stream().anyMatch(call -> combination.isIn(call.parts()));
        }
    }

    private long mClearedMilliseconds = Long.MIN_VALUE / 2;
    private final Map<String, Crash> mCrashes = new HashMap<>();
    private final Map<PromptPart, Long> mServedMilliseconds = new HashMap<>();
    private final AnswerCounts mAnswers = new AnswerCounts();
    private final Map<PartCombination, Long> mLiftedMilliseconds = new HashMap<>();

    /**
     * Forgets the reports of gateways, which are going to repeat them. There are no verdicts until
     * they have had time to.
     */
    public void clearReports(long nowMilliseconds) {
        mClearedMilliseconds = nowMilliseconds;
        mCrashes.clear();
        mServedMilliseconds.clear();
        mAnswers.clear();
    }

    /**
     * Adds the report of a gateway. The same report may be added again.
     *
     * @param gateway name of the gateway, different after each of its starts
     */
    public void add(String gateway, CrashEvidence evidence, long nowMilliseconds) {
        for (EndpointCrash reported : evidence.crashes()) {
            long atMilliseconds = nowMilliseconds - reported.ageMilliseconds();
            if (mCrashes.size() < MAX_CRASHES || mCrashes.containsKey(reported.incarnation())) {
                Crash crash =
                        mCrashes.computeIfAbsent(
                                reported.incarnation(), key -> new Crash(atMilliseconds));
                crash.mAtMilliseconds = Math.min(crash.mAtMilliseconds, atMilliseconds);
                reported.calls().forEach(call -> crash.mCalls.put(call.id(), call));
            }
        }
        evidence.servedMilliseconds()
                .forEach(
                        (part, ageMilliseconds) ->
                                mServedMilliseconds.merge(
                                        part, nowMilliseconds - ageMilliseconds, Math::max));
        mAnswers.add(gateway, evidence.answeredCalls(), nowMilliseconds);
        removeOld(nowMilliseconds);
    }

    /** Records that a quarantine was lifted. Earlier crashes do not count against it any more. */
    public void lifted(PartCombination combination, long nowMilliseconds) {
        mLiftedMilliseconds.put(combination, nowMilliseconds);
    }

    /** Returns the suspected parts, of which gateways are to report answers. */
    public Set<PromptPart> watched(QuarantineState state, long nowMilliseconds) {
        removeOld(nowMilliseconds);
        return suspects(state.inForce(), nowMilliseconds).stream()
                .filter(suspect -> !suspect.isIn(state.inForce()))
                .flatMap(suspect -> suspect.parts().parts().stream())
                .limit(MAX_WATCHED)
                .collect(Collectors.toSet());
    }

    /** Returns what is to be quarantined now. */
    public Set<PartCombination> verdicts(QuarantineState state, long nowMilliseconds) {
        removeOld(nowMilliseconds);
        if (nowMilliseconds - mClearedMilliseconds < REPEAT_MILLISECONDS) {
            return Set.of();
        }
        Set<PartCombination> verdicts = new HashSet<>();
        List<Suspect> candidates =
                Candidates.of(
                        suspects(state.inForce(), nowMilliseconds - SETTLE_MILLISECONDS),
                        state.inForce(),
                        this::wasServedBefore);
        candidates.stream()
                .filter(suspect -> suspect.isAsSuspiciousAs(candidates.get(0)))
                .filter(suspect -> isProved(suspect, candidates, nowMilliseconds))
                .forEach(suspect -> verdicts.add(suspect.parts()));
        state.combinations().keySet().stream()
                .filter(combination -> !state.inForce().contains(combination))
                .filter(combination -> crashedAgain(combination, nowMilliseconds))
                .forEach(verdicts::add);
        return verdicts;
    }

    /** Returns the number of recent crashes at which a call with the combination waited. */
    public long crashesWith(PartCombination combination) {
        return mCrashes.values().stream().filter(crash -> crash.hasCallWith(combination)).count();
    }

    private boolean wasServedBefore(PromptPart part) {
        return mServedMilliseconds.containsKey(part);
    }

    private boolean isProved(Suspect suspect, List<Suspect> others, long nowMilliseconds) {
        if (!isReported(suspect.firstMilliseconds(), nowMilliseconds)) {
            return false;
        }
        long answers = answersSince(suspect.parts(), suspect.firstMilliseconds());
        if (suspect.hasPart(this::wasServedBefore)
                || others.stream().anyMatch(suspect::competesWith)) {
            return suspect.crashes() >= CRASHES_IF_DOUBTFUL
                    && answersSince(suspect.parts(), suspect.lastMilliseconds())
                            >= ANSWERS_IF_DOUBTFUL;
        }
        return suspect.crashes() >= CRASHES && answers >= ANSWERS
                || suspect.crashes() >= CRASHES_IF_DOUBTFUL && answers >= ANSWERS_IF_CERTAIN;
    }

    /** Returns whether an engine crashed under a combination after its quarantine was lifted. */
    private boolean crashedAgain(PartCombination combination, long nowMilliseconds) {
        long liftedMilliseconds = mLiftedMilliseconds.getOrDefault(combination, Long.MIN_VALUE);
        return mCrashes.values().stream()
                .filter(crash -> crash.mAtMilliseconds > liftedMilliseconds)
                .filter(crash -> isReported(crash.mAtMilliseconds, nowMilliseconds))
                .filter(crash -> answersSince(combination, crash.mAtMilliseconds) >= ANSWERS)
                .filter(crash -> isUnservedSince(combination, crash.mAtMilliseconds))
                .anyMatch(crash -> crash.hasCallWith(combination));
    }

    private static boolean isReported(long crashMilliseconds, long nowMilliseconds) {
        return nowMilliseconds - crashMilliseconds >= REPORT_MILLISECONDS;
    }

    private long answersSince(PartCombination combination, long crashMilliseconds) {
        return mAnswers.since(combination.parts().first().model(), crashMilliseconds);
    }

    /**
     * Returns the suspects, the most suspicious first, with those in quarantine. A crash that a
     * quarantine explains counts only against the parts of that quarantine, one of which may be the
     * cause alone.
     */
    private List<Suspect> suspects(Set<PartCombination> inForce, long untilMilliseconds) {
        Map<String, Crash> crashes = new HashMap<>(mCrashes);
        crashes.values().removeIf(crash -> crash.mAtMilliseconds > untilMilliseconds);
        Map<PromptPart, Set<Wait>> waits = new HashMap<>();
        crashes.forEach((incarnation, crash) -> addWaits(incarnation, crash, waits));
        Explanations explanations = new Explanations(inForce);
        crashes.forEach(
                (incarnation, crash) -> explanations.add(incarnation, crash.partsOfCalls()));
        Map<Set<Wait>, List<PromptPart>> partsByWaits = new HashMap<>();
        waits.forEach(
                (part, own) -> {
                    Set<Wait> counted = explanations.unexplained(part, own);
                    if (!counted.isEmpty()) {
                        partsByWaits.computeIfAbsent(counted, k -> new ArrayList<>()).add(part);
                    }
                });
        List<Suspect> suspects = new ArrayList<>();
        partsByWaits.forEach(
                (own, parts) -> suspects.add(new Suspect(PartCombination.of(parts), own)));
        suspects.sort(Suspect.MOST_SUSPICIOUS_FIRST);
        return suspects;
    }

    private void addWaits(String incarnation, Crash crash, Map<PromptPart, Set<Wait>> waits) {
        for (SuspectCall call : crash.mCalls.values()) {
            Wait wait = new Wait(incarnation, call.id(), crash.mAtMilliseconds);
            call.parts().stream()
                    .filter(part -> isUnservedSince(part, crash.mAtMilliseconds))
                    .forEach(part -> waits.computeIfAbsent(part, k -> new HashSet<>()).add(wait));
        }
    }

    private boolean isUnservedSince(PartCombination combination, long crashMilliseconds) {
        return combination.parts().stream()
                .anyMatch(part -> isUnservedSince(part, crashMilliseconds));
    }

    private boolean isUnservedSince(PromptPart part, long crashMilliseconds) {
        Long servedMilliseconds = mServedMilliseconds.get(part);
        boolean wasLiftedSince =
                mLiftedMilliseconds.entrySet().stream()
                        .filter(lifted -> lifted.getValue() >= crashMilliseconds)
                        .anyMatch(lifted -> lifted.getKey().parts().contains(part));
        boolean wasServedSince =
                servedMilliseconds != null && servedMilliseconds >= crashMilliseconds;
        return !wasServedSince && !wasLiftedSince;
    }

    private void removeOld(long nowMilliseconds) {
        long oldestMilliseconds = nowMilliseconds - MEMORY_MILLISECONDS;
        mCrashes.values().removeIf(crash -> crash.mAtMilliseconds < oldestMilliseconds);
        mServedMilliseconds.values().removeIf(at -> at < oldestMilliseconds);
        mAnswers.removeBefore(oldestMilliseconds);
        mLiftedMilliseconds.values().removeIf(at -> at < oldestMilliseconds);
    }
}
