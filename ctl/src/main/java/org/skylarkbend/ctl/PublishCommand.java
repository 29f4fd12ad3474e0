package org.skylarkbend.ctl;

import java.io.File;
import java.util.OptionalLong;
import java.util.UUID;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.skylarkbend.base.Result;

/** The command {@code skylarkctl publish FILE}, which publishes a set and waits for it. */
public final class PublishCommand extends ControlOptions implements CtlCommand {
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    @Argument(required = true, metaVar = "FILE", usage = "YAML file of the set")
    private File mFile;

    @Option(
            name = "--base",
            metaVar = "REVISION",
            usage =
                    "revision on which the set is based; default: that in its comment, or the"
                            + " newest")
    private Long mBase;

    @Option(
            name = "--publish-id",
            metaVar = "ID",
            usage = "ID of an earlier publish to retry; default: a new ID")
    private String mPublishId;

    @Option(
            name = "--wait-seconds",
            metaVar = "N",
            usage = "timeout of publishing, and again of waiting until the set is in force")
    private int mWaitSeconds = 30;

    /** Creates the command; args4j sets its options and arguments. */
    public PublishCommand() {}

    @Override
    public ExitCode run(CtlEnvironment environment) {
        return SetFile.read(mFile)
                .fold(
                        yaml ->
                                withControl(
                                        environment,
                                        transport -> publish(environment, transport, yaml)),
                        error -> SetFile.fail(error, environment));
    }

    private ExitCode publish(CtlEnvironment environment, ControlTransport transport, String yaml) {
        Result<Long> base = baseRevision(transport, yaml);
        return base.fold(
                revision -> publish(environment, transport, yaml, revision),
                error -> report(environment, error));
    }

    private ExitCode publish(
            CtlEnvironment environment, ControlTransport transport, String yaml, long base) {
        String id = mPublishId == null ? "ctl-" + UUID.randomUUID() : mPublishId;
        environment.err().println("publish id " + id + ", base revision " + base);
        SetPublisher publisher =
                new SetPublisher(
                        transport,
                        environment.wallClock(),
                        environment.pause(),
                        environment.err()::println);
        Result<Long> accepted = publisher.publish(id, base, yaml, deadline(environment));
        return accepted.fold(
                revision -> awaitInForce(environment, publisher, id, revision),
                error -> report(environment, error));
    }

    private ExitCode awaitInForce(
            CtlEnvironment environment, SetPublisher publisher, String id, long revision) {
        boolean inForce = publisher.waitUntilInForce(revision, deadline(environment));
        String state = inForce ? "in_force" : "accepted";
        if (json()) {
            environment.out().println(jsonOf(id, revision, state));
        } else {
            environment.out().println("revision " + revision + " " + state.replace('_', ' '));
        }
        if (!inForce) {
            environment
                    .err()
                    .println(
                            "next: the set is accepted and will come into force; \"skylarkctl"
                                    + " status\" shows the routers that have not confirmed it");
        }
        return inForce ? ExitCode.OK : ExitCode.NOT_IN_FORCE;
    }

    private Result<Long> baseRevision(ControlTransport transport, String yaml) {
        if (mBase != null) {
            return Result.success(mBase);
        }
        OptionalLong commentRevision = BaseRevision.findIn(yaml);
        if (commentRevision.isPresent()) {
            return Result.success(commentRevision.getAsLong());
        }
        return transport
                .send(ControlRequest.get("/v1/status"))
                .flatMap(
                        response ->
                                response.isSuccess()
                                        ? Result.success(response.json().path("revision").asLong())
                                        : Result.failure(response.error()));
    }

    private long deadline(CtlEnvironment environment) {
        return environment.wallClock().nowMilliseconds() + mWaitSeconds * MILLISECONDS_PER_SECOND;
    }

    private static String jsonOf(String id, long revision, String state) {
        return CtlJson.object()
                .put("publish_id", id)
                .put("revision", revision)
                .put("state", state)
                .toString();
    }
}
