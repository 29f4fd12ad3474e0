package org.skylarkbend.explain;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;

/**
 * A call to be judged.
 *
 * @param call lines about it
 * @param surroundings what stood beside it
 */
record CallCase(CallTrace call, Surroundings surroundings) {
    /** Returns the beliefs of some topics up to the last line about the call. */
    Stream<Belief> beliefs(BeliefTopic... topics) {
        long endMicroseconds = call.endedMicroseconds().orElse(Long.MIN_VALUE);
        return Stream.of(surroundings.before(), surroundings.during())
                .flatMap(Collection::stream)
                .filter(belief -> belief.timeMicroseconds() <= endMicroseconds)
                .filter(belief -> Arrays.asList(topics).contains(belief.topic()));
    }

    /** Returns the beliefs of some topics in the window, also after the call. */
    Stream<Belief> around(BeliefTopic... topics) {
        return surroundings.during().stream()
                .filter(belief -> Arrays.asList(topics).contains(belief.topic()));
    }

    /** Returns the process that wrote the last line about the call. */
    String process() {
        return call.last().line().origin().process();
    }

    /** Returns whether any of the logs is that of a control process. */
    boolean hasControl() {
        return surroundings.processes().stream().anyMatch(ProcessCoverage::isControl);
    }

    static List<Evidence> evidence(Stream<Belief> beliefs) {
        return beliefs.map(belief -> Evidence.of(belief.line())).toList();
    }
}
