package org.skylarkbend.gateway.front;

import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.CacheScopes;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.intake.BodyLimits;

/** Admits requests by the catalog in force. */
final class Admissions {
    private static final StructuredLog LOG = StructuredLog.of(Admissions.class);

    private static final BodyLimits.Errors BODY_ERRORS =
            new BodyLimits.Errors(
                    () ->
                            new SkylarkError(
                                    ErrorKind.BODY_TOO_LARGE, "the request body is too large"),
                    () ->
                            new SkylarkError(
                                    ErrorKind.OVERLOADED,
                                    "there is no memory for the request body"),
                    () ->
                            new SkylarkError(
                                    ErrorKind.REQUEST_TIMEOUT,
                                    "the request was not completed in time"));

    private final CallHeadReader mHeadReader;
    private final BooleanSupplier mIsRefusing;
    private Optional<ServingState> mState = Optional.empty();

    /**
     * Decision on the head of a request.
     *
     * @param state state it was made with
     * @param result route and customer, or the reason for the refusal
     */
    record Decision(Optional<ServingState> state, Result<ServingState.Admission> result) {}

    /**
     * Creates admissions without a catalog.
     *
     * @param headReader reads the keys and timeouts of callers
     * @param isRefusing returns whether the gateway takes no new calls any more
     */
    Admissions(CallHeadReader headReader, BooleanSupplier isRefusing) {
        mHeadReader = headReader;
        mIsRefusing = isRefusing;
    }

    /** Puts a catalog in force. */
    void catalogChanged(Catalog catalog) {
        ServingState state = ServingState.of(catalog);
        mState = Optional.of(state);
        LOG.info(
                "catalog.in_force",
                "number",
                catalog.number(),
                "routes",
                catalog.routes().size(),
                "customers",
                catalog.customers().size(),
                "isolated",
                state.cacheScopes().isolatedCount(),
                "cache_scope",
                state.cacheScopes().shared());
    }

    boolean hasCatalog() {
        return mState.isPresent();
    }

    /** Returns the number of the catalog in force, or 0 without one. */
    long catalogNumber() {
        return mState.map(state -> state.catalog().number()).orElse(0L);
    }

    /** Returns the scopes of cached prompt parts under the catalog in force. */
    CacheScopes cacheScopes() {
        return mState.map(ServingState::cacheScopes).orElseGet(() -> CacheScopes.of(List.of()));
    }

    /** Returns the limits on what callers send. */
    CallerLimits callerLimits() {
        return mState.map(state -> state.catalog().callerLimits()).orElse(CallerLimits.defaults());
    }

    /** Decides on a request whose body has not arrived yet. */
    Decision decide(HttpServerRequest request) {
        return new Decision(mState, admit(request));
    }

    /** Returns the admission of a complete request; a changed catalog is looked up again. */
    Result<ServingState.Admission> confirm(HttpServerRequest request, Decision decision) {
        boolean isCurrent = decision.state().equals(mState) && !mIsRefusing.getAsBoolean();
        return isCurrent ? decision.result() : admit(request);
    }

    /**
     * Returns the limits on the body of a request. It is of no use after the deadline of its call;
     * of a refused call nobody needs it.
     */
    BodyLimits bodyLimits(HttpServerRequest request, Decision decision, long arrivedMilliseconds) {
        return new BodyLimits(
                callerLimits().bodyBytes(),
                callerLimits().idleMilliseconds(),
                arrivedMilliseconds + bodyMilliseconds(request, decision),
                BODY_ERRORS);
    }

    private long bodyMilliseconds(HttpServerRequest request, Decision decision) {
        long callerMilliseconds = mHeadReader.timeoutMilliseconds(request.headers());
        if (decision.state().isEmpty()) {
            return callerMilliseconds;
        }
        long boundMilliseconds =
                decision.result()
                        .fold(
                                admission -> admission.route().timeoutMilliseconds(),
                                error -> callerLimits().idleMilliseconds());
        return Math.min(callerMilliseconds, boundMilliseconds);
    }

    private Result<ServingState.Admission> admit(HttpServerRequest request) {
        if (mIsRefusing.getAsBoolean()) {
            return Result.failure(ErrorKind.ROUTER_DRAINING, "this gateway is shutting down");
        }
        if (mState.isEmpty()) {
            return Result.failure(
                    ErrorKind.ROUTER_STALE, "this gateway has not received a catalog yet");
        }
        String host = request.getHeader("Host");
        if (host == null) {
            return Result.failure(ErrorKind.BAD_REQUEST, "the Host header is missing");
        }
        return mState.get().admit(host, request.path(), mHeadReader.keyDigest(request.headers()));
    }
}
