package org.skylarkbend.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.util.Locale;
import org.kohsuke.args4j.Argument;
import org.skylarkbend.base.Result;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.SetDifference;
import org.skylarkbend.publishing.SetReader;

/** The command {@code skylarkctl diff FILE}, which compares a set with the current one. */
public final class DiffCommand extends ControlOptions implements CtlCommand {
    @Argument(required = true, metaVar = "FILE", usage = "YAML file of the set")
    private File mFile;

    /** Creates the command; args4j sets its options and arguments. */
    public DiffCommand() {}

    @Override
    public ExitCode run(CtlEnvironment environment) {
        return withControl(
                environment,
                transport ->
                        difference(transport)
                                .fold(
                                        difference -> print(environment, difference),
                                        error -> report(environment, error)));
    }

    private Result<SetDifference> difference(ControlTransport transport) {
        return SetReader.readFile(mFile.toPath())
                .flatMap(
                        wanted ->
                                currentSet(transport)
                                        .map(current -> SetDifference.between(current, wanted)));
    }

    private static Result<PublishedSet> currentSet(ControlTransport transport) {
        return transport
                .send(ControlRequest.get("/v1/sets/current"))
                .flatMap(
                        response ->
                                response.isSuccess()
                                        ? read(response.body())
                                        : Result.failure(response.error()));
    }

    /** Parses the current set. Before the first set is published, the text is only a comment. */
    private static Result<PublishedSet> read(String yaml) {
        boolean empty = yaml.lines().allMatch(line -> line.startsWith("#"));
        return empty ? Result.success(PublishedSet.empty()) : SetReader.readText("current", yaml);
    }

    private ExitCode print(CtlEnvironment environment, SetDifference difference) {
        ObjectNode json = CtlJson.object();
        ArrayNode changes = json.putArray("changes");
        StringBuilder text = new StringBuilder();
        for (SetDifference.Change change : difference.changes()) {
            String kind = change.kind().name().toLowerCase(Locale.ROOT);
            changes.addObject()
                    .put("kind", kind)
                    .put("section", change.section())
                    .put("name", change.name().value());
            text.append(String.format("%-8s %s.%s%n", kind, change.section(), change.name()));
        }
        environment.out().print(json() ? json + "\n" : text.toString());
        if (difference.isEmpty()) {
            environment.err().println("no changes to the current set");
        }
        return ExitCode.OK;
    }
}
