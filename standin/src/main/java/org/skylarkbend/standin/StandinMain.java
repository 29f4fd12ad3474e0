package org.skylarkbend.standin;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.skylarkbend.base.StructuredLog;

/**
 * The program {@code skylark-standin}: fakes of the systems around the router, and tools that load
 * it.
 */
public final class StandinMain {
    private static final StructuredLog LOG = StructuredLog.of(StandinMain.class);
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EVENT_LOOPS = 4;

    @Argument(
            required = true,
            metaVar = "engine|service|platform|load|pressure",
            usage = "what to run; add --help to list its options",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "engine", impl = EngineCommand.class),
        @SubCommand(name = "service", impl = ServiceCommand.class),
        @SubCommand(name = "platform", impl = PlatformCommand.class),
        @SubCommand(name = "load", impl = LoadCommand.class),
        @SubCommand(name = "pressure", impl = PressureCommand.class)
    })
    private StandinCommand mCommand;

    private StandinMain() {}

    /** Runs the fake or the load tool named by the first argument. */
    public static void main(String[] arguments) {
        StandinMain main = new StandinMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            e.getParser().printUsage(System.err);
            System.exit(EXIT_USAGE);
        }
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
        main.mCommand.run(vertx).onFailure(StandinMain::fail);
    }

    private static void fail(Throwable cause) {
        LOG.error(cause, "standin.failed");
        System.exit(EXIT_FAILED);
    }
}
