package org.skylarkbend.replay.report;

import java.nio.file.Path;
import java.util.List;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.settings.YamlDocument;
import org.skylarkbend.base.settings.YamlMap;

/** Reads expected outcomes from a YAML file. */
public final class OutcomeReader {
    private static final double MAX_BOUND = 1e15;
    private static final String AT_LEAST = "at_least";
    private static final String AT_MOST = "at_most";

    private OutcomeReader() {}

    /** Reads a file. A failure lists all problems found in it. */
    public static Result<List<ExpectedOutcome>> readFile(Path file) {
        return YamlDocument.readFile(file, OutcomeReader::read);
    }

    private static List<ExpectedOutcome> read(YamlMap root) {
        return root.maps("outcomes").stream().map(OutcomeReader::outcome).toList();
    }

    private static ExpectedOutcome outcome(YamlMap fields) {
        if (!fields.has(AT_LEAST) && !fields.has(AT_MOST)) {
            fields.problem("measure", "give at_least, at_most or both");
        }
        ExpectedOutcome outcome =
                new ExpectedOutcome(
                        fields.enumOr("measure", Measure.class, null),
                        fields.decimalOr(AT_LEAST, Double.NEGATIVE_INFINITY, -MAX_BOUND, MAX_BOUND),
                        fields.decimalOr(AT_MOST, Double.POSITIVE_INFINITY, -MAX_BOUND, MAX_BOUND));
        fields.reportUnknownFields();
        return outcome;
    }
}
