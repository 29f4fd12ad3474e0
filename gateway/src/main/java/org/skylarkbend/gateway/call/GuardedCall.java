package org.skylarkbend.gateway.call;

import java.util.function.Consumer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.intake.CallBoundary;
import org.skylarkbend.wire.HeldBytes;

/**
 * Call in progress, as the task that serves it knows it: whatever happens to the call is handled
 * within its boundary. Confined to that task.
 */
public final class GuardedCall {
    private final CallBoundary mBoundary;
    private final GatewayCall mCall;

    /**
     * Creates a call that has not started.
     *
     * @param call the admitted call
     * @param requestBody body of the call, released as soon as no attempt can need it
     * @param resources resources shared by all calls
     * @param response response to the caller
     * @param onEnd receives the call when it has ended
     */
    public GuardedCall(
            CallRequest call,
            HeldBytes requestBody,
            CallResources resources,
            CallerResponse response,
            Consumer<GuardedCall> onEnd) {
        mBoundary = new CallBoundary(call.id(), this::stepFailed);
        mCall =
                new GatewayCall(
                        call,
                        requestBody,
                        resources,
                        response,
                        mBoundary,
                        () -> onEnd.accept(this));
    }

    /** Starts the call. */
    public void start() {
        mBoundary.run(mCall::start);
    }

    /** Handles the disconnection of the caller. */
    public void callerDisconnected() {
        mBoundary.run(mCall::callerDisconnected);
    }

    /** Handles the loss of an endpoint that accepts no more connections. */
    public void endpointLost(Endpoint endpoint) {
        mBoundary.run(() -> mCall.endpointLost(endpoint));
    }

    /** Ends the call because the gateway shuts down and cannot wait any longer. */
    public void gatewayStopping() {
        mBoundary.run(mCall::gatewayStopping);
    }

    /** Handles a change of the quarantined parts. */
    public void quarantineChanged() {
        mBoundary.run(mCall::quarantineChanged);
    }

    private void stepFailed() {
        mCall.stepFailed();
    }
}
