package org.skylarkbend.verification;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A table of proofs with a row for each pair, as in {@code docs/PROOFS.md} for promises and faults,
 * and in {@code docs/FAULTS.md} for faults and places.
 *
 * <p>A row has the form {@code | promise | fault | proof |}. The proof names tests in backquotes as
 * {@code Class#method}, or gives a reason that starts with {@code not proved:} or {@code not
 * affected:}.
 */
public final class ProofTable {
    private static final Pattern TEST_NAME = Pattern.compile("`([\\w.]+#\\w+)`");
    private static final Pattern REASON = Pattern.compile("not (proved|affected): \\S.*");
    private static final Pattern HEADER = Pattern.compile("\\| \\w+ \\| \\w+ \\| proof \\|");
    private static final int COLUMN_COUNT = 3;

    private final List<Row> mRows;

    private ProofTable(List<Row> rows) {
        mRows = List.copyOf(rows);
    }

    /** The proof that a promise holds under a fault. */
    public record Row(String promise, String fault, String proof) {
        /** Returns the tests named in the proof. */
        public List<String> tests() {
            Matcher matcher = TEST_NAME.matcher(proof);
            return matcher.results().map(result -> result.group(1)).toList();
        }

        /** Returns whether the row names a test or gives a reason for having none. */
        public boolean isFilled() {
            return !tests().isEmpty() || REASON.matcher(proof).matches();
        }
    }

    /** Parses the table rows in the lines of the page. */
    public static ProofTable parse(List<String> lines) {
        List<Row> rows = new ArrayList<>();
        for (String line : lines) {
            rowOf(line).ifPresent(rows::add);
        }
        return new ProofTable(rows);
    }

    private static Optional<Row> rowOf(String line) {
        if (!line.startsWith("| ") || HEADER.matcher(line).matches()) {
            return Optional.empty();
        }
        List<String> cells =
                Arrays.stream(line.substring(1).split("\\|")).map(String::trim).toList();
        if (cells.size() != COLUMN_COUNT) {
            throw new IllegalArgumentException("expected a row with three cells: " + line);
        }
        return Optional.of(new Row(cells.get(0), cells.get(1), cells.get(2)));
    }

    /** Returns all rows in the order of the page. */
    public List<Row> rows() {
        return mRows;
    }
}
