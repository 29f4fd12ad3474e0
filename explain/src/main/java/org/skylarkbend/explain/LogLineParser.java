package org.skylarkbend.explain;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.DateTimeException;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.temporal.ChronoUnit;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses lines in the form of {@code StructuredLog}, also with a simulated time in seconds, the
 * name of a machine, or both in front of them.
 */
public final class LogLineParser {
    private static final Pattern HEAD =
            Pattern.compile(
                    "\\s*(?:(?<seconds>-?\\d{1,12}(?:\\.\\d{1,9})?)\\s+)?"
                        + "(?:(?<machine>[A-Za-z][\\w.-]{0,200}):?\\s+)?"
                        + "(?:(?<time>\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d(?:\\.\\d{1,9})?)Z?"
                        + "\\s+)?(?:level=(?<level>[A-Z]{1,10})\\s+)?");
    private static final Pattern CONTINUATION =
            Pattern.compile(
                    "\\s*|\\s+at .*|\\s+\\.\\.\\. \\d+ more|\\s*(Caused by|Suppressed): .*"
                            + "|[\\w.$]{1,200}(Exception|Error)(: .*)?");
    private static final String EVENT = "event=";

    private LogLineParser() {}

    /** Parses a line; what cannot be parsed is {@link LogLine.Unreadable}. */
    public static LogLine parse(String file, long lineNumber, String line) {
        Matcher head = HEAD.matcher(line);
        boolean hasHead = head.lookingAt();
        String rest = hasHead ? line.substring(head.end()) : line;
        if (hasHead && (rest.startsWith(EVENT) || head.group("level") != null)) {
            String machine = Optional.ofNullable(head.group("machine")).orElse(file);
            String level = Optional.ofNullable(head.group("level")).orElse("-");
            Origin origin = new Origin(machine, file, lineNumber, timeOf(head));
            if (!rest.startsWith(EVENT)) {
                return new LogLine.Library(origin, level, rest);
            }
            Map<String, String> fields = fields(rest);
            String name = fields.remove("event");
            return new LogLine.Event(origin, level, name, Collections.unmodifiableMap(fields));
        }
        LogTime none = new LogTime(OptionalLong.empty(), OptionalLong.empty());
        Origin origin = new Origin(file, file, lineNumber, none);
        return CONTINUATION.matcher(line).matches()
                ? new LogLine.Continuation(origin)
                : new LogLine.Unreadable(origin, line);
    }

    private static LogTime timeOf(Matcher head) {
        return new LogTime(
                head.group("seconds") == null
                        ? OptionalLong.empty()
                        : OptionalLong.of(microseconds(head.group("seconds"))),
                head.group("time") == null
                        ? OptionalLong.empty()
                        : wallMicroseconds(head.group("time")));
    }

    private static long microseconds(String seconds) {
        return new BigDecimal(seconds)
                .movePointRight(6)
                .setScale(0, RoundingMode.HALF_UP)
                .longValue();
    }

    private static OptionalLong wallMicroseconds(String time) {
        try {
            return OptionalLong.of(
                    ChronoUnit.MICROS.between(
                            LocalDateTime.ofEpochSecond(0, 0, ZoneOffset.UTC),
                            LocalDateTime.parse(time)));
        } catch (DateTimeException e) {
            return OptionalLong.empty();
        }
    }

    /** Reads {@code name=value} pairs up to the first text that is none. */
    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        int at = 0;
        while (at < text.length()) {
            int equals = text.indexOf('=', at);
            int space = text.indexOf(' ', at);
            if (equals < 0 || space >= 0 && space < equals) {
                break;
            }
            String name = text.substring(at, equals);
            StringBuilder value = new StringBuilder();
            boolean isQuoted = equals + 1 < text.length() && text.charAt(equals + 1) == '"';
            at = isQuoted ? quoted(text, equals + 2, value) : plain(text, equals + 1, value);
            fields.putIfAbsent(name, value.toString());
        }
        return fields;
    }

    private static int plain(String text, int start, StringBuilder value) {
        int space = text.indexOf(' ', start);
        int end = space < 0 ? text.length() : space;
        value.append(text, start, end);
        return end + 1;
    }

    /** Reads a quoted value, also one whose end is missing, and returns where the next begins. */
    private static int quoted(String text, int start, StringBuilder value) {
        int at = start;
        while (at < text.length() && text.charAt(at) != '"') {
            if (text.charAt(at) == '\\' && at + 1 < text.length()) {
                at++;
                value.append(unescaped(text.charAt(at)));
            } else {
                value.append(text.charAt(at));
            }
            at++;
        }
        return at + 2;
    }

    private static char unescaped(char escaped) {
        return switch (escaped) {
            case 'n' -> '\n';
            case 'r' -> '\r';
            default -> escaped;
        };
    }
}
