package org.skylarkbend.explain;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

/** What a gateway has logged about one call. */
public sealed interface CallEvent {
    /** Decodes the lines that a gateway writes about a call, by event. */
    Map<String, Function<LogLine.Event, CallEvent>> DECODERS =
            Map.of(
                    "call.refused", Refused::of,
                    "attempt.failed", AttemptFailed::of,
                    "call.quarantined", Quarantined::of,
                    "call.ended", Ended::of,
                    "caller.gone", CallerGone::new,
                    "endpoint.crashed", WaitedAtCrash::new);

    /** Returns the decoded line if it is about the call with the ID. */
    static Optional<CallEvent> of(String id, LogLine.Event line) {
        boolean isAboutCall =
                line.name().equals("endpoint.crashed")
                        ? List.of(line.text("calls").split(",")).contains(id)
                        : line.text("id").equals(id);
        return isAboutCall
                ? Optional.ofNullable(DECODERS.get(line.name())).map(decoder -> decoder.apply(line))
                : Optional.empty();
    }

    /** Returns the line. */
    LogLine.Event line();

    /** Returns the time since the arrival of the call, if the line says it. */
    default OptionalLong elapsedMilliseconds() {
        return line().number("elapsed_milliseconds");
    }

    /** Returns the endpoint that the line names, if any. */
    default Optional<String> endpoint() {
        return Optional.of(line().text("endpoint")).filter(name -> !name.equals("-"));
    }

    /** Returns whether the call has no further line after this one. */
    default boolean isLast() {
        return false;
    }

    /** The call was refused on arrival. */
    record Refused(LogLine.Event line, String kind, OptionalLong catalog, String detail)
            implements CallEvent {
        static Refused of(LogLine.Event line) {
            return new Refused(
                    line, line.text("kind"), line.number("catalog"), line.text("detail"));
        }

        @Override
        public boolean isLast() {
            return true;
        }
    }

    /** An attempt ended without a usable response. */
    record AttemptFailed(LogLine.Event line, String outcome, String cause) implements CallEvent {
        static AttemptFailed of(LogLine.Event line) {
            return new AttemptFailed(line, line.text("outcome"), line.text("cause"));
        }
    }

    /** The call was refused because of its prompt. */
    record Quarantined(LogLine.Event line, String parts, boolean waited) implements CallEvent {
        static Quarantined of(LogLine.Event line) {
            return new Quarantined(line, line.text("parts"), line.text("waited").equals("true"));
        }
    }

    /** The call ended. */
    record Ended(
            LogLine.Event line,
            String outcome,
            OptionalLong status,
            OptionalLong catalog,
            OptionalLong tried,
            OptionalLong firstEventMilliseconds)
            implements CallEvent {
        private static final int SERVER_ERROR = 500;

        static Ended of(LogLine.Event line) {
            return new Ended(
                    line,
                    line.text("outcome"),
                    line.number("status"),
                    line.number("catalog"),
                    line.number("tried"),
                    line.number("first_event_milliseconds"));
        }

        @Override
        public boolean isLast() {
            return true;
        }

        /** Returns whether the caller got a response of an endpoint. */
        public boolean isAnswered() {
            return outcome.equals("answered");
        }

        /** Returns whether the caller got a response of an endpoint that is no server error. */
        public boolean isServed() {
            return isAnswered() && status.orElse(0) < SERVER_ERROR;
        }
    }

    /** The caller left before the call was admitted. */
    record CallerGone(LogLine.Event line) implements CallEvent {
        @Override
        public boolean isLast() {
            return true;
        }
    }

    /** The call waited at an endpoint that crashed. */
    record WaitedAtCrash(LogLine.Event line) implements CallEvent {}
}
