package org.skylarkbend.replay;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Entry point of {@code skylark-replay}. */
public final class ReplayMain {
    /** Exit code if the command succeeded and every expected outcome was met. */
    public static final int EXIT_MET = 0;

    /** Exit code if an expected outcome was missed. */
    public static final int EXIT_MISSED = 1;

    /** Exit code if the command line is invalid or a file cannot be read or written. */
    public static final int EXIT_USAGE = 2;

    private static final Map<String, Supplier<ReplayCommand>> COMMANDS =
            new TreeMap<>(Map.of("generate", GenerateCommand::new, "run", RunCommand::new));

    private ReplayMain() {}

    /** Runs a subcommand and exits the process with its exit code. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    /** Runs a subcommand and returns its exit code. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 0 || !COMMANDS.containsKey(args[0])) {
            err.println("usage: skylark-replay generate|run [options]");
            return EXIT_USAGE;
        }
        ReplayCommand command = COMMANDS.get(args[0]).get();
        CmdLineParser parser = new CmdLineParser(command);
        try {
            parser.parseArgument(Arrays.copyOfRange(args, 1, args.length));
        } catch (CmdLineException e) {
            err.println(e.getMessage());
            parser.printUsage(err);
            return EXIT_USAGE;
        }
        return command.run(out, err);
    }
}
