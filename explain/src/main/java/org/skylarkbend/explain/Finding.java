package org.skylarkbend.explain;

import java.util.List;
import java.util.stream.Stream;

/**
 * The cause of one kind of outcome, as far as the lines show it.
 *
 * @param decided what decided the outcome
 * @param isCauseShown false if the lines show what happened but not why
 * @param inputs logged values that decided it
 * @param beside lines that may have to do with it
 * @param missing what the lines do not show of it
 */
record Finding(
        String decided,
        boolean isCauseShown,
        List<Evidence> inputs,
        List<Evidence> beside,
        List<String> missing) {
    static Finding shown(String decided, List<Evidence> inputs, String... missing) {
        return new Finding(decided, true, inputs, List.of(), List.of(missing));
    }

    static Finding notShown(String decided, List<Evidence> inputs, String... missing) {
        return new Finding(decided, false, inputs, List.of(), List.of(missing));
    }

    /** Returns the finding with further inputs. */
    Finding from(List<Evidence> further) {
        List<Evidence> all = Stream.concat(inputs.stream(), further.stream()).toList();
        return new Finding(decided, isCauseShown, all, beside, missing);
    }

    /** Returns the finding with lines that may have to do with it. */
    Finding beside(List<Evidence> lines) {
        return new Finding(decided, isCauseShown, inputs, lines, missing);
    }
}
