package org.skylarkbend.ctl;

import java.io.File;
import java.util.Optional;
import java.util.function.Function;
import org.kohsuke.args4j.Option;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;

/** Options of the commands that connect to control. */
public class ControlOptions {
    @Option(
            name = "--control",
            metaVar = "HOST:PORT,...",
            usage = "operator addresses of control VMs; default: the variable SKYLARK_CONTROL")
    private String mControl;

    @Option(name = "--settings", metaVar = "FILE", usage = "YAML file of operator settings")
    private File mSettings;

    @Option(name = "--json", usage = "print JSON")
    private boolean mJson;

    boolean json() {
        return mJson;
    }

    /** Reads the settings and runs the action with a transport to control. */
    ExitCode withControl(CtlEnvironment environment, Function<ControlTransport, ExitCode> action) {
        Result<OperatorSettings> settings =
                OperatorSettings.of(
                        Optional.ofNullable(mSettings).map(File::toPath),
                        mControl,
                        environment.variables());
        return settings.fold(
                valid -> action.apply(environment.connect().apply(valid)),
                error -> {
                    environment.err().println("skylarkctl: " + error.detail());
                    return ExitCode.USAGE;
                });
    }

    /** Sends a GET request and prints the response, as JSON or formatted by {@code asText}. */
    ExitCode show(
            CtlEnvironment environment, String path, Function<ControlResponse, String> asText) {
        return withControl(
                environment,
                transport ->
                        transport
                                .send(ControlRequest.get(path))
                                .fold(
                                        response -> print(environment, response, asText),
                                        error -> report(environment, error)));
    }

    /** Prints an error and a suggested next step, and returns the exit code. */
    ExitCode report(CtlEnvironment environment, SkylarkError error) {
        environment.err().println("skylarkctl: " + error.kind().code() + ": " + error.detail());
        String next = nextStep(error.kind());
        if (!next.isEmpty()) {
            environment.err().println("next: " + next);
        }
        return ExitCode.of(error.kind());
    }

    private ExitCode print(
            CtlEnvironment environment,
            ControlResponse response,
            Function<ControlResponse, String> asText) {
        if (!response.isSuccess()) {
            return report(environment, response.error());
        }
        environment.out().print(mJson ? response.body() : asText.apply(response));
        return ExitCode.OK;
    }

    private static String nextStep(ErrorKind kind) {
        return switch (kind) {
            case NO_LEADER ->
                    "control has no leader: check that a majority of the control VMs is running,"
                            + " then repeat the command";
            case CONNECTION_FAILED ->
                    "check the addresses in --control and that the control VMs are running";
            case COMMIT_UNKNOWN ->
                    "repeat the command with the same --publish-id: a set is never accepted"
                            + " twice";
            case OPERATOR_REFUSED ->
                    "check SKYLARK_OPERATOR_CREDENTIAL; its digest must be listed under"
                            + " \"operators\" in the settings of control";
            case REVISION_CONFLICT ->
                    "run \"skylarkctl get\", apply your change to that set and publish it";
            case SET_INVALID -> "fix the lines above; \"skylarkctl check FILE\" repeats the check";
            default -> "";
        };
    }
}
