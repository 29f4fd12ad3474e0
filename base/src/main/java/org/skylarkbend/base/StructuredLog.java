package org.skylarkbend.base;

import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

/**
 * A logger of a class that writes a stable event name and fields through tinylog.
 *
 * <p>Example: {@code event=router.started port=8080 vm=entry-1}. Fields are passed as alternating
 * names and values. Values with spaces, quotes or line breaks are quoted, so that an event is
 * always one line.
 */
public final class StructuredLog {
    /**
     * Maximum rate of info lines, ten times the peak rate of a gateway. Further lines are dropped
     * and counted.
     */
    private static final int LINES_PER_SECOND = 400;

    private static final LogRateLimiter RATE_LIMITER = new LogRateLimiter(LINES_PER_SECOND);
    private static final MillisecondClock CLOCK = MillisecondClock.monotonic();

    private final String mSource;

    private StructuredLog(String source) {
        mSource = source;
    }

    /** Returns the logger of a class. */
    public static StructuredLog of(Class<?> source) {
        return new StructuredLog(source.getSimpleName());
    }

    /**
     * Writes all queued lines and stops logging. To be called before the process is halted, which
     * would lose them.
     */
    public static void shutDown() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Logs details for maintainers. */
    public void debug(String event, Object... fields) {
        if (Logger.isDebugEnabled()) {
            Logger.debug((Object) line(event, fields));
        }
    }

    /** Logs a normal event, unless the rate limit of the process is exceeded. */
    public void info(String event, Object... fields) {
        if (RATE_LIMITER.tryAcquire(CLOCK.nowMilliseconds())) {
            logDropped();
            Logger.info((Object) line(event, fields));
        }
    }

    /** Logs an event that needs the attention of an operator. */
    public void warn(String event, Object... fields) {
        Logger.warn((Object) line(event, fields));
    }

    /** Logs an error with its cause. */
    public void error(Throwable cause, String event, Object... fields) {
        Logger.error(cause, line(event, fields));
    }

    private void logDropped() {
        long dropped = RATE_LIMITER.takeDropped();
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
