package org.skylarkbend.ctl;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * The command {@code skylarkctl explain ID FILE...}, which tells from logs what became of a call
 * and why.
 */
public final class ExplainCommand implements CtlCommand {
    private static final int AROUND_SECONDS = 5;
    private static final int MAX_AROUND_SECONDS = 86_400;

    @Argument(required = true, index = 0, metaVar = "ID", usage = "ID of the request")
    private String mId;

    @Argument(
            required = true,
            index = 1,
            multiValued = true,
            metaVar = "FILE...",
            usage = "logs of processes; - is the standard input")
    private List<String> mFiles;

    @Option(
            name = "--around-seconds",
            metaVar = "N",
            usage = "time before and after the call to look at")
    private int mAroundSeconds = AROUND_SECONDS;

    @Option(name = "--json", usage = "print JSON")
    private boolean mJson;

    /** Creates the command; args4j sets its options and arguments. */
    public ExplainCommand() {}

    @Override
    public ExitCode run(CtlEnvironment environment) {
        if (mAroundSeconds < 0 || mAroundSeconds > MAX_AROUND_SECONDS || mId.isBlank()) {
            environment
                    .err()
                    .println(
                            "skylarkctl: --around-seconds must be from 0 to "
                                    + MAX_AROUND_SECONDS
                                    + ", and the ID must not be blank");
            return ExitCode.USAGE;
        }
        try (LogFiles files = LogFiles.open(mFiles, environment.in())) {
            LogFiles.Reading reading = files.read(mId, TimeUnit.SECONDS.toMicros(mAroundSeconds));
            environment
                    .out()
                    .print(mJson ? StoryJson.of(mId, reading) : StoryText.of(mId, reading));
            return reading.story().isPresent() ? ExitCode.OK : ExitCode.NOT_FOUND;
        } catch (IOException e) {
            environment.err().println("skylarkctl: cannot read the logs: " + e);
            return ExitCode.USAGE;
        }
    }
}
