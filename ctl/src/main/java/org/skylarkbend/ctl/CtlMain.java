package org.skylarkbend.ctl;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;
import org.skylarkbend.base.MillisecondClock;

/** Entry point of {@code skylarkctl}. */
public final class CtlMain {
    private static final String HELP =
            """
            usage: skylarkctl check FILE              check a set without publishing it
                   skylarkctl diff FILE               show what publishing the set would change
                   skylarkctl publish FILE            publish a set and wait until it is in force
                   skylarkctl get                     print the newest set for editing
                   skylarkctl status                  show leader, revision and routers
                   skylarkctl usage [forecast]        show spend and grants, or a forecast
                   skylarkctl key new                 generate a key and its digest
                   skylarkctl explain ID FILE...      tell from logs what became of a request

            Every command accepts --json. All except check, key and explain require
            SKYLARK_OPERATOR_CREDENTIAL and --control HOST:PORT,... (or SKYLARK_CONTROL, or
            --settings FILE).

            examples:
              skylarkctl check examples/regie.yaml
              skylarkctl get > set.yaml; vi set.yaml; skylarkctl publish set.yaml
              skylarkctl usage --month 2026-12 --csv > december.csv
              skylarkctl usage forecast --html > forecast.html
              skylarkctl explain bb0b235bf20c5570 front-*.log core-*.log
              skylarkctl publish set.yaml --publish-id ctl-1234   # retry after a lost response

            exit codes:
              0 done                                  4 no leader reached; run again
              1 invalid set or value                  5 accepted, but not in force in time
              2 invalid command line or settings,     6 credential refused
                or a file that cannot be read         7 internal error; see the log of control
              3 another set was accepted first        8 no line is about the request
            """;

    @Argument(
            required = true,
            metaVar = "COMMAND",
            usage = "command to run",
            handler = CommandHandler.class)
    @SubCommands({
        @SubCommand(name = "check", impl = CheckCommand.class),
        @SubCommand(name = "diff", impl = DiffCommand.class),
        @SubCommand(name = "publish", impl = PublishCommand.class),
        @SubCommand(name = "get", impl = GetCommand.class),
        @SubCommand(name = "status", impl = StatusCommand.class),
        @SubCommand(name = "usage", impl = UsageCommand.class),
        @SubCommand(name = "key", impl = KeyCommand.class),
        @SubCommand(name = "explain", impl = ExplainCommand.class)
    })
    private CtlCommand mCommand;

    private CtlMain() {}

    /** Runs a command and exits the process with its exit code. */
    public static void main(String[] arguments) {
        CtlEnvironment environment =
                new CtlEnvironment(
                        System.in,
                        System.out,
                        System.err,
                        System.getenv(),
                        HttpTransport::new,
                        MillisecondClock.wall(),
                        CtlMain::pause);
        System.exit(run(arguments, environment).code());
    }

    static ExitCode run(String[] arguments, CtlEnvironment environment) {
        if (List.of(arguments).contains("--help") || arguments.length == 0) {
            environment.out().print(HELP);
            return arguments.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        CtlMain main = new CtlMain();
        try {
            new CmdLineParser(main).parseArgument(arguments);
        } catch (CmdLineException e) {
            environment.err().println("skylarkctl: " + e.getMessage());
            e.getParser().printUsage(environment.err());
            environment.err().println("next: \"skylarkctl --help\" shows examples");
            return ExitCode.USAGE;
        }
        return main.mCommand.run(environment);
    }

    private static void pause(long milliseconds) {
        try {
            TimeUnit.MILLISECONDS.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
