package org.skylarkbend.testing.fuzz;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The long run by hand: starts Jazzer for one target after another. What Jazzer has found to reach
 * further code stays in the corpus folder of the target and is where the next run begins.
 */
public final class FuzzCommand {
    private FuzzCommand() {}

    /**
     * Runs the targets.
     *
     * @param arguments the corpus folder, the seconds for each target, the seed, the name of the
     *     class with the targets, and optionally the name of one target
     */
    public static void main(String[] arguments) throws Exception {
        Path corpus = Path.of(arguments[0]).toAbsolutePath();
        String className = arguments[3];
        int failures = 0;
        for (FuzzTarget target : targetsOf(className)) {
            if (arguments.length == 4 || target.name().equals(arguments[4])) {
                Path folder = corpus.resolve(target.name());
                JazzerRun run = new JazzerRun(folder, className, target);
                int exitCode =
                        run.start(
                                List.of(
                                        "-max_total_time=" + arguments[1],
                                        "-seed=" + arguments[2]));
                failures += exitCode == 0 ? 0 : 1;
                System.out.println(target.name() + ": " + outcome(run, exitCode));
            }
        }
        System.exit(failures == 0 ? 0 : 1);
    }

    static List<FuzzTarget> targetsOf(String className) throws ReflectiveOperationException {
        Object test = Class.forName(className).getDeclaredConstructor().newInstance();
        return ((FuzzTargets) test).targets();
    }

    /** Returns the last line of Jazzer that counts runs, and where a fault is described. */
    private static String outcome(JazzerRun run, int exitCode) throws IOException {
        String runs =
                run.output().stream()
                        .filter(line -> line.startsWith("#") || line.startsWith("Done "))
                        .reduce("no runs", (earlier, later) -> later);
        return (exitCode == 0 ? "no fault, " : "fault, see " + run.outputFile() + ", ")
                + runs.strip();
    }
}
