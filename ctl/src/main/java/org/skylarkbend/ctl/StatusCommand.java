package org.skylarkbend.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/** The command {@code skylarkctl status}, which shows leader, revision and state of routers. */
public final class StatusCommand extends ControlOptions implements CtlCommand {
    /** Creates the command; args4j sets its options and arguments. */
    public StatusCommand() {}

    @Override
    public ExitCode run(CtlEnvironment environment) {
        return show(environment, "/v1/status", StatusCommand::asText);
    }

    private static String asText(ControlResponse response) {
        JsonNode status = response.json();
        StringBuilder text = new StringBuilder();
        text.append("leader    ").append(status.path("leader").asText()).append('\n');
        text.append("revision  ").append(status.path("revision").asLong());
        boolean inForce = status.path("in_force").asBoolean();
        text.append(inForce ? " (in force)\n" : " (not in force yet)\n");
        text.append(String.format("%-24s %-16s %10s %s%n", "ROUTER", "CENTRE", "REVISION", ""));
        for (JsonNode router : status.path("routers")) {
            text.append(
                    String.format(
                            "%-24s %-16s %10d %s%n",
                            router.path("vm").asText(),
                            router.path("data_centre").asText(),
                            router.path("revision").asLong(),
                            stateOf(router, status.path("revision").asLong())));
        }
        return text.toString();
    }

    private static String stateOf(JsonNode router, long revision) {
        if (!router.path("live").asBoolean()) {
            return "silent for " + router.path("silent_milliseconds").asLong() + " ms";
        }
        return router.path("revision").asLong() < revision ? "behind" : "serving";
    }
}
