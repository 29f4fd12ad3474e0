package org.skylarkbend.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

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

    /** Crashes that are at most this far apart count as one. */
    private static final long SAME_TIME_MILLISECONDS = 50;

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

        boolean hasCallWith(PartCombination combination) {
            return mCalls.values().stream().anyMatch(call -> combination.isIn(call.parts()));
        }
    }

    /** A call that waited at an endpoint when it crashed. */
    private record Wait(String incarnation, String callId, long atMilliseconds) {}

    /** Parts that waited at the same crashes in the same calls, and may be the cause of them. */
    private record Suspect(PartCombination parts, Set<Wait> waits, int crashes) {
        private static final Comparator<Suspect> MOST_SUSPICIOUS_FIRST =
                Comparator.comparingInt(Suspect::crashes)
                        .thenComparingInt(suspect -> suspect.waits().size())
                        .reversed()
                        .thenComparing(Suspect::parts);

        boolean isAsSuspiciousAs(Suspect other) {
            return crashes == other.crashes && waits.size() == other.waits.size();
        }

        /** Returns whether both are as suspicious, and because of some of the same crashes. */
        boolean competesWith(Suspect other) {
            return !equals(other)
                    && isAsSuspiciousAs(other)
                    && waits.stream()
                            .map(Wait::incarnation)
                            .anyMatch(
                                    crashed ->
                                            other.waits.stream()
                                                    .map(Wait::incarnation)
                                                    .anyMatch(crashed::equals));
        }

        /** Returns whether the other one waited at as many crashes, but in fewer calls. */
        boolean isMoreGeneralThan(Suspect other) {
            return crashes == other.crashes
                    && waits.size() > other.waits.size()
                    && waits.containsAll(other.waits);
        }

        long firstMilliseconds() {
            return waits.stream().mapToLong(Wait::atMilliseconds).min().orElse(0);
        }

        long lastMilliseconds() {
            return waits.stream().mapToLong(Wait::atMilliseconds).max().orElse(0);
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
        List<Suspect> suspects =
                narrowed(
                                suspects(state.inForce(), nowMilliseconds - SETTLE_MILLISECONDS),
                                state.inForce())
                        .stream()
                        .map(this::withoutPartsServedBefore)
                        .toList();
        if (!suspects.isEmpty()) {
            List<Suspect> candidates = candidates(suspects);
            Suspect top = candidates.get(0);
            candidates.stream()
                    .filter(suspect -> suspect.isAsSuspiciousAs(top))
                    .filter(suspect -> isProved(suspect, candidates, nowMilliseconds))
                    .forEach(suspect -> verdicts.add(suspect.parts()));
        }
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

    /**
     * Returns the suspects of which the first is to be judged, the most suspicious first. If that
     * one was answered before the crashes, calls that account for some of them go first, as long as
     * there are any.
     */
    private List<Suspect> candidates(List<Suspect> suspects) {
        Suspect top = suspects.get(0);
        if (!wasServedBefore(top)) {
            return suspects;
        }
        List<Suspect> within =
                suspects.stream()
                        .filter(one -> one.crashes() >= CRASHES && !wasServedBefore(one))
                        .filter(one -> top.waits().containsAll(one.waits()))
                        .toList();
        return within.isEmpty() ? suspects : within;
    }

    private boolean wasServedBefore(Suspect suspect) {
        return suspect.parts().parts().stream().anyMatch(mServedMilliseconds::containsKey);
    }

    private boolean isProved(Suspect suspect, List<Suspect> others, long nowMilliseconds) {
        if (!isReported(suspect.firstMilliseconds(), nowMilliseconds)) {
            return false;
        }
        long answers = answersSince(suspect.parts(), suspect.firstMilliseconds());
        if (wasServedBefore(suspect) || others.stream().anyMatch(suspect::competesWith)) {
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
     * Leaves out the parts that were served before the crashes, if there are others: those are more
     * likely to be the cause.
     */
    private Suspect withoutPartsServedBefore(Suspect suspect) {
        List<PromptPart> neverServed =
                suspect.parts().parts().stream()
                        .filter(part -> !mServedMilliseconds.containsKey(part))
                        .toList();
        return neverServed.isEmpty()
                ? suspect
                : new Suspect(PartCombination.of(neverServed), suspect.waits(), suspect.crashes());
    }

    /**
     * Returns the suspects, the most suspicious first. A crash that a quarantine explains counts
     * only against the parts of that quarantine, one of which may be the cause alone.
     */
    private List<Suspect> suspects(Set<PartCombination> inForce, long untilMilliseconds) {
        Map<PromptPart, Set<Wait>> waits = new HashMap<>();
        mCrashes.forEach(
                (incarnation, crash) -> {
                    if (crash.mAtMilliseconds <= untilMilliseconds) {
                        addWaits(incarnation, crash, inForce, waits);
                    }
                });
        Map<Set<Wait>, List<PromptPart>> partsByWaits = new HashMap<>();
        waits.forEach(
                (part, own) -> partsByWaits.computeIfAbsent(own, k -> new ArrayList<>()).add(part));
        List<Suspect> suspects = new ArrayList<>();
        partsByWaits.forEach(
                (own, parts) -> {
                    if (inForce.stream().noneMatch(combination -> combination.isIn(parts))) {
                        suspects.add(
                                new Suspect(PartCombination.of(parts), own, separateCrashes(own)));
                    }
                });
        suspects.sort(Suspect.MOST_SUSPICIOUS_FIRST);
        return suspects;
    }

    /**
     * Returns the suspects with the most suspicious one narrowed to a single call, if one call
     * waited at as many crashes as all calls with the suspected parts. The crashes then do not tell
     * whether the parts or that call are the cause, and other calls with the parts will.
     */
    private static List<Suspect> narrowed(List<Suspect> suspects, Set<PartCombination> inForce) {
        if (suspects.isEmpty()) {
            return suspects;
        }
        Suspect top = suspects.get(0);
        List<Suspect> within = suspects.stream().filter(top::isMoreGeneralThan).toList();
        List<Suspect> narrowest =
                within.stream()
                        .filter(one -> within.stream().noneMatch(one::isMoreGeneralThan))
                        .toList();
        if (narrowest.size() != 1) {
            return suspects;
        }
        Suspect call = narrowest.get(0);
        List<PromptPart> parts = new ArrayList<>(call.parts().parts());
        suspects.stream()
                .filter(suspect -> suspect.isMoreGeneralThan(call))
                .forEach(suspect -> parts.addAll(suspect.parts().parts()));
        List<Suspect> others =
                suspects.stream()
                        .filter(other -> !other.equals(call) && !other.isMoreGeneralThan(call))
                        .toList();
        List<Suspect> narrowed = new ArrayList<>();
        PartCombination combination = PartCombination.of(parts);
        if (inForce.stream().noneMatch(quarantined -> quarantined.isIn(combination.parts()))) {
            narrowed.add(new Suspect(combination, call.waits(), call.crashes()));
        }
        narrowed.addAll(others);
        return narrowed;
    }

    private void addWaits(
            String incarnation,
            Crash crash,
            Set<PartCombination> inForce,
            Map<PromptPart, Set<Wait>> waits) {
        List<PartCombination> explanations = inForce.stream().filter(crash::hasCallWith).toList();
        Set<PromptPart> explaining =
                explanations.stream()
                        .filter(explanation -> isSimplest(explanation, explanations))
                        .flatMap(explanation -> explanation.parts().stream())
                        .collect(Collectors.toSet());
        for (SuspectCall call : crash.mCalls.values()) {
            Wait wait = new Wait(incarnation, call.id(), crash.mAtMilliseconds);
            for (PromptPart part : call.parts()) {
                boolean mayBeCause = explaining.isEmpty() || explaining.contains(part);
                if (mayBeCause && isUnservedSince(part, crash.mAtMilliseconds)) {
                    waits.computeIfAbsent(part, key -> new HashSet<>()).add(wait);
                }
            }
        }
    }

    private static boolean isSimplest(
            PartCombination explanation, List<PartCombination> explanations) {
        return explanations.stream()
                .noneMatch(other -> !other.equals(explanation) && other.isIn(explanation.parts()));
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

    private static int separateCrashes(Set<Wait> waits) {
        List<Long> times =
                waits.stream().map(Wait::atMilliseconds).sorted(Comparator.naturalOrder()).toList();
        int separate = 0;
        long lastMilliseconds = Long.MIN_VALUE / 2;
        for (long atMilliseconds : times) {
            separate += atMilliseconds - lastMilliseconds > SAME_TIME_MILLISECONDS ? 1 : 0;
            lastMilliseconds = atMilliseconds;
        }
        return separate;
    }

    private void removeOld(long nowMilliseconds) {
        long oldestMilliseconds = nowMilliseconds - MEMORY_MILLISECONDS;
        mCrashes.values().removeIf(crash -> crash.mAtMilliseconds < oldestMilliseconds);
        mServedMilliseconds.values().removeIf(at -> at < oldestMilliseconds);
        mAnswers.removeBefore(oldestMilliseconds);
        mLiftedMilliseconds.values().removeIf(at -> at < oldestMilliseconds);
    }
}
