package org.skylarkbend.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.SetContext;
import org.skylarkbend.publishing.SetReader;

/** The command {@code skylarkctl check FILE}, which checks a set without contacting control. */
public final class CheckCommand implements CtlCommand {
    @Argument(required = true, metaVar = "FILE", usage = "YAML file of the set")
    private File mFile;

    @Option(name = "--json", usage = "print JSON")
    private boolean mJson;

    /** Creates the command; args4j sets its options and arguments. */
    public CheckCommand() {}

    @Override
    public ExitCode run(CtlEnvironment environment) {
        return SetFile.read(mFile)
                .fold(yaml -> check(environment, yaml), error -> SetFile.fail(error, environment));
    }

    private ExitCode check(CtlEnvironment environment, String yaml) {
        List<String> problems =
                SetReader.readText(mFile.toString(), yaml)
                        .fold(set -> List.of(), error -> error.detail().lines().toList());
        List<String> warnings = problems.isEmpty() ? warningsOf(yaml, environment) : List.of();
        print(environment, problems, warnings);
        return problems.isEmpty() ? ExitCode.OK : ExitCode.INVALID;
    }

    /**
     * Returns problems of moves that control refuses unless the set in force already contains the
     * same move.
     */
    private List<String> warningsOf(String yaml, CtlEnvironment environment) {
        SetContext context =
                new SetContext(PublishedSet.empty(), environment.wallClock().nowMilliseconds());
        return SetReader.readText(mFile.toString(), yaml, context)
                .fold(set -> List.of(), error -> error.detail().lines().toList());
    }

    private void print(CtlEnvironment environment, List<String> problems, List<String> warnings) {
        if (mJson) {
            ObjectNode json = CtlJson.object().put("valid", problems.isEmpty());
            ArrayNode problemList = json.putArray("problems");
            problems.forEach(problemList::add);
            ArrayNode warningList = json.putArray("warnings");
            warnings.forEach(warningList::add);
            environment.out().println(json);
            return;
        }
        problems.forEach(environment.out()::println);
        warnings.forEach(line -> environment.out().println("if the move is new: " + line));
        environment.out().println(problems.isEmpty() ? "valid" : problems.size() + " problems");
    }
}
