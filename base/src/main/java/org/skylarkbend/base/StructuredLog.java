package org.skylarkbend.base;

import org.tinylog.Logger;

/**
 * A class-level logger that writes a stable event name and fields, over tinylog.
 *
 * <p>A line reads {@code event=router.started port=8080 vm=entry-1}. Fields come in pairs of name
 * and value. Values with spaces, quotes or line breaks are quoted, so that a line stays a line.
 */
public final class StructuredLog {
    /** Ten times what a gateway writes at the peak of the sites that we know. */
    private static final int LINES_PER_SECOND = 400;

    private static final LineBudget BUDGET = new LineBudget(LINES_PER_SECOND);
    private static final MillisecondClock CLOCK = MillisecondClock.monotonic();

    private final String mSource;

    private StructuredLog(String source) {
        mSource = source;
    }

    /** The logger of a class. */
    public static StructuredLog of(Class<?> source) {
        return new StructuredLog(source.getSimpleName());
    }

    /** Writes what a maintainer may want to see. */
    public void debug(String event, Object... fields) {
        if (Logger.isDebugEnabled()) {
            Logger.debug((Object) line(event, fields));
        }
    }

    /** Writes what happened in the ordinary course, unless there is too much of it. */
    public void info(String event, Object... fields) {
        if (BUDGET.take(CLOCK.nowMilliseconds())) {
            noteDropped();
            Logger.info((Object) line(event, fields));
        }
    }

    /** Writes what an operator should look at. */
    public void warn(String event, Object... fields) {
        Logger.warn((Object) line(event, fields));
    }

    /** Writes a fault with its cause. */
    public void error(Throwable cause, String event, Object... fields) {
        Logger.error(cause, line(event, fields));
    }

    private void noteDropped() {
        long dropped = BUDGET.takeDropped();
        if (dropped > 0) {
            Logger.warn((Object) line("log.dropped", "lines", dropped));
        }
    }

    private String line(String event, Object... fields) {
        StringBuilder line = new StringBuilder("event=").append(event);
        line.append(" source=").append(mSource);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=').append(quoted(fields[i + 1]));
        }
        return line.toString();
    }

    private static String quoted(Object value) {
        String text = String.valueOf(value);
        if (!text.isEmpty() && text.chars().noneMatch(StructuredLog::needsQuotes)) {
            return text;
        }
        String escaped = text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
        return '"' + escaped.replace("\r", "\\r").replace("{", "(").replace("}", ")") + '"';
    }

    private static boolean needsQuotes(int character) {
        return character <= ' ' || character == '"' || character == '{' || character == '\\';
    }
}
