package org.skylarkbend.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.standin.platform.ListedEndpoint;
import org.skylarkbend.standin.platform.ListedState;
import org.skylarkbend.standin.platform.ListedVm;
import org.skylarkbend.standin.platform.PlatformDecider;
import org.skylarkbend.standin.platform.PlatformTask;

/** Runs a fake of the platform's VM list. */
public final class PlatformCommand implements StandinCommand {
    private static final int VM_FIELDS = 4;

    @Option(name = "--host", usage = "IP address to listen on")
    private String mHost = "127.0.0.1";

    @Option(name = "--port", required = true, usage = "port to listen on")
    private int mPort;

    @Option(name = "--lag-ms", usage = "age in milliseconds of the list that readers get")
    private long mLagMilliseconds;

    @Option(name = "--vm", metaVar = "NAME,HOST,PORT,DATA-CENTRE", usage = "a live VM; repeatable")
    private List<String> mVms = new ArrayList<>();

    @Option(name = "--endpoint", usage = "name of a live endpoint; repeatable")
    private List<String> mEndpoints = new ArrayList<>();

    @Override
    public Future<?> run(Vertx vertx) {
        MillisecondClock clock = MillisecondClock.monotonic();
        List<ListedVm> vms = mVms.stream().map(PlatformCommand::vm).toList();
        List<ListedEndpoint> endpoints =
                mEndpoints.stream()
                        .map(name -> new ListedEndpoint(name, ListedState.LIVE))
                        .toList();
        PlatformDecider decider =
                new PlatformDecider(mLagMilliseconds, vms, endpoints, clock.nowMilliseconds());
        Tracing tracing = new Tracing("skylark-standin", Optional.empty());
        return vertx.deployVerticle(new PlatformTask(mHost, mPort, decider, clock, tracing));
    }

    private static ListedVm vm(String text) {
        String[] fields = text.split(",");
        if (fields.length != VM_FIELDS) {
            throw new IllegalArgumentException(
                    "--vm expects NAME,HOST,PORT,DATA-CENTRE but was: " + text);
        }
        return new ListedVm(
                fields[0], fields[1], Integer.parseInt(fields[2]), fields[3], ListedState.LIVE);
    }
}
