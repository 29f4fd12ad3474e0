package org.skylarkbend.replay.trace;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.Writer;
import java.util.Locale;

/** Writes a trace in the line format described in {@code docs/REPLAY.md}. */
public final class TraceWriter {
    /** First line of every trace; it identifies the format version. */
    public static final String HEADER = "skylarkbend-trace 1";

    /** Placeholder of an absent field. */
    public static final String ABSENT = "-";

    private TraceWriter() {}

    /** Writes a trace. */
    public static void write(Trace trace, Writer target) throws IOException {
        PrintWriter out = new PrintWriter(target);
        out.println(HEADER);
        out.println("routers " + trace.routers());
        trace.endpoints().forEach(e -> line(out, "endpoint", e.name(), e.dataCentre()));
        trace.customers()
                .forEach(
                        c -> line(out, "customer", c.name(), c.tokensPerSecond(), c.burstTokens()));
        trace.routes()
                .forEach(r -> line(out, "route", r.name(), r.priority(), r.deadlineMilliseconds()));
        trace.faults().forEach(fault -> fault(out, fault));
        trace.requests().forEach(request -> request(out, request));
        out.flush();
        if (out.checkError()) {
            throw new IOException("cannot write the trace");
        }
    }

    private static void fault(PrintWriter out, TraceFault fault) {
        String kind = fault.kind().name().toLowerCase(Locale.ROOT);
        line(
                out,
                "fault",
                fault.atMilliseconds(),
                kind,
                fault.target(),
                fault.durationMilliseconds());
    }

    private static void request(PrintWriter out, TraceRequest request) {
        line(
                out,
                "request",
                request.atMilliseconds(),
                request.customer(),
                request.route(),
                request.chain().blocks().count() == 0
                        ? ABSENT
                        : String.join(",", request.chain().blocks().toHex()),
                request.chain().promptTokens(),
                request.answerTokens(),
                request.outcome().orElse(ABSENT));
    }

    private static void line(PrintWriter out, Object... fields) {
        StringBuilder line = new StringBuilder();
        for (Object field : fields) {
            line.append(line.length() == 0 ? "" : " ").append(field);
        }
        out.println(line);
    }
}
