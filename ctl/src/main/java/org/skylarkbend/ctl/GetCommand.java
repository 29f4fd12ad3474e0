package org.skylarkbend.ctl;

/** The command {@code skylarkctl get}, which prints the newest committed set for editing. */
public final class GetCommand extends ControlOptions implements CtlCommand {
    /** Creates the command; args4j sets its options and arguments. */
    public GetCommand() {}

    @Override
    public ExitCode run(CtlEnvironment environment) {
        return show(environment, "/v1/sets/current", ControlResponse::body);
    }
}
