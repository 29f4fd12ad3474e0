package org.skylarkbend.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.standin.pressure.PressurePlan;
import org.skylarkbend.standin.pressure.PressureTask;

/** Drives a front at the limit of its memory and prints what it served, refused and took. */
public final class PressureCommand implements StandinCommand {
    private static final StructuredLog LOG = StructuredLog.of(PressureCommand.class);
    private static final String PEAK_MEMORY_FIELD = "VmHWM:";

    @Option(name = "--url", required = true, usage = "where requests are sent, http://...")
    private String mUrl;

    @Option(name = "--header", usage = "header of each request, NAME:VALUE; may be repeated")
    private List<String> mHeaders = new ArrayList<>();

    @Option(name = "--id-header", usage = "header that gets a new value with each request")
    private String mIdHeader = "";

    @Option(name = "--small", usage = "number of callers with small requests")
    private int mSmallCallers = 20;

    @Option(name = "--long", usage = "number of callers with long requests")
    private int mLongCallers;

    @Option(name = "--long-bytes", usage = "size of the body of a long request")
    private int mLongBytes = 4_000_000;

    @Option(name = "--slow", usage = "number of callers that read their responses slowly")
    private int mSlowReaders;

    @Option(name = "--idle", usage = "number of connections that send nothing")
    private int mIdleConnections;

    @Option(name = "--seconds", usage = "duration of the run")
    private int mSeconds = 30;

    @Option(name = "--pid", usage = "process whose peak memory is printed, on Linux")
    private long mPid;

    @Override
    public Future<?> run(Vertx vertx) {
        PressureTask task =
                new PressureTask(
                        new PressurePlan(
                                mUrl,
                                headers(),
                                mIdHeader,
                                mSmallCallers,
                                mLongCallers,
                                mLongBytes,
                                mSlowReaders,
                                mIdleConnections,
                                mSeconds));
        return vertx.deployVerticle(task)
                .compose(deployed -> task.completion())
                .onSuccess(
                        report -> {
                            System.out.print(report.table(mSeconds, peakMemory()));
                            System.exit(0);
                        });
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header : mHeaders) {
            int colon = header.indexOf(':');
            if (colon < 1) {
                throw new IllegalArgumentException(
                        "not a header of the form NAME:VALUE: " + header);
            }
            headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
        }
        return headers;
    }

    private String peakMemory() {
        if (mPid == 0) {
            return "not measured, no --pid was given";
        }
        try {
            return Files.readAllLines(Path.of("/proc/" + mPid + "/status")).stream()
                    .filter(line -> line.startsWith(PEAK_MEMORY_FIELD))
                    .map(line -> line.substring(PEAK_MEMORY_FIELD.length()).trim())
                    .findFirst()
                    .orElse("unknown");
        } catch (IOException e) {
            LOG.warn("standin.pressure.no_memory", "pid", mPid, "detail", e.getMessage());
            return "the process has ended";
        }
    }
}
