package org.skylarkbend.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.standin.service.ServiceDecider;
import org.skylarkbend.standin.service.ServiceTask;

/** Runs one or more fake services on consecutive ports. */
public final class ServiceCommand implements StandinCommand {
    @Option(name = "--host", usage = "IP address to listen on")
    private String mHost = "127.0.0.1";

    @Option(name = "--port", required = true, usage = "port of the first service")
    private int mPort;

    @Option(name = "--count", usage = "number of services")
    private int mCount = 1;

    @Override
    public Future<?> run(Vertx vertx) {
        Tracing tracing = new Tracing("skylark-standin", Optional.empty());
        List<Future<?>> started = new ArrayList<>();
        for (int i = 0; i < mCount; i++) {
            long incarnation = MillisecondClock.wall().nowMilliseconds();
            ServiceDecider decider = new ServiceDecider();
            started.add(
                    vertx.deployVerticle(
                            new ServiceTask(mHost, mPort + i, incarnation, decider, tracing)));
        }
        return Future.all(started);
    }
}
