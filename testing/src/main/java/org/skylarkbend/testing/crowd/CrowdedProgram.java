package org.skylarkbend.testing.crowd;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/** A program that runs as a process of its own, and what it has to keep beside a crowd. */
public final class CrowdedProgram {
    private static final int OK = 200;

    private final BooleanSupplier mIsRunning;
    private final LongSupplier mProcessId;
    private final IntSupplier mOrdinaryCall;

    /**
     * Upper bounds for the resources of the process.
     *
     * @param memoryKilobytes memory, with what is unread on its connections
     * @param descriptors number of open descriptors
     */
    public record Bounds(long memoryKilobytes, int descriptors) {}

    /**
     * Creates the checks of a program.
     *
     * @param isRunning whether the process lives
     * @param processId ID of the process
     * @param ordinaryCall makes an ordinary call and returns its status
     */
    public CrowdedProgram(
            BooleanSupplier isRunning, LongSupplier processId, IntSupplier ordinaryCall) {
        mIsRunning = isRunning;
        mProcessId = processId;
        mOrdinaryCall = ordinaryCall;
    }

    /**
     * Sends a crowd, then checks that the program lives, keeps its bounds and serves a call.
     *
     * @param port port of the program that the crowd calls
     * @param callers number of connections of the crowd
     * @param request request that is sent on each
     * @param bounds upper bounds that the process keeps
     */
    public void assertServesBeside(
            int port, int callers, CallerCrowd.Request request, Bounds bounds) throws Exception {
        try (CallerCrowd crowd = new CallerCrowd()) {
            crowd.send(port, callers, request);
            assertLives();
            assertThat(mOrdinaryCall.getAsInt()).as("status of an ordinary call").isEqualTo(OK);
            ProcessUsage usage = ProcessUsage.of(mProcessId.getAsLong(), port);
            assertThat(usage.descriptors()).as("descriptors").isLessThan(bounds.descriptors());
            assertThat(usage.memoryKilobytes())
                    .as("%s", usage)
                    .isLessThan(bounds.memoryKilobytes());
            assertLives();
        }
    }

    private void assertLives() {
        assertThat(mIsRunning.getAsBoolean()).as("the process lives").isTrue();
    }
}
