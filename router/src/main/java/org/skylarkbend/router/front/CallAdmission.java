package org.skylarkbend.router.front;

import java.util.Optional;
import org.skylarkbend.access.AccessGrant;
import org.skylarkbend.access.AccessRequest;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.forwarding.ledger.CallIdentity;
import org.skylarkbend.router.Call;
import org.skylarkbend.router.ChatCall;
import org.skylarkbend.router.forward.EngineEventCodec;
import org.skylarkbend.router.link.ServingView;

/** Authenticates and validates a caller's request and converts it into a call. */
final class CallAdmission {
    private static final String CHAT_PATH = "/v1/chat/completions";

    private final String mCallIdPrefix;
    private long mLastCallNumber;

    /** Creates an admission that assigns call IDs with the given prefix. */
    CallAdmission(String callIdPrefix) {
        mCallIdPrefix = callIdPrefix;
    }

    Result<Call> admit(CallerRequest request, ServingView view, long nowMilliseconds) {
        boolean isChat = request.path().equals(CHAT_PATH) && request.method().equals("POST");
        if (!isChat) {
            return admit(request, Optional.empty(), view, nowMilliseconds);
        }
        return ChatCallCodec.decode(request.body())
                .flatMap(chat -> admit(request, Optional.of(chat), view, nowMilliseconds));
    }

    private Result<Call> admit(
            CallerRequest request,
            Optional<ChatCall> chat,
            ServingView view,
            long nowMilliseconds) {
        Optional<String> key = CallerCredential.keyOf(request);
        AccessRequest access =
                new AccessRequest(
                        CallerCredential.digestOf(key), chat.map(ChatCall::model), request.path());
        Result<AccessGrant> grant = view.access().decide(access);
        boolean isOpen = grant.fold(granted -> granted.route().keyless(), error -> false);
        if (!isOpen && !view.mayServeKeyedAt(nowMilliseconds)) {
            return Result.failure(
                    ErrorKind.ROUTER_STALE, "this router has no valid lease from control");
        }
        if (key.isPresent() && CallerCredential.containsKey(key.get(), request)) {
            return Result.failure(
                    ErrorKind.BAD_REQUEST, "send the key only in the Authorization header");
        }
        Optional<String> idempotencyKey = request.header("Idempotency-Key");
        if (idempotencyKey.filter(name -> !isIdempotencyKey(name)).isPresent()) {
            return Result.failure(
                    ErrorKind.BAD_REQUEST,
                    "Idempotency-Key must have 1 to "
                            + CallIdentity.MAX_KEY_CHARACTERS
                            + " characters");
        }
        return grant.map(granted -> call(request, chat, granted, nowMilliseconds));
    }

    private static boolean isIdempotencyKey(String name) {
        return !name.isEmpty() && name.length() <= CallIdentity.MAX_KEY_CHARACTERS;
    }

    private Call call(
            CallerRequest request,
            Optional<ChatCall> chat,
            AccessGrant grant,
            long nowMilliseconds) {
        boolean asStream = chat.map(ChatCall::requestsEngineStream).orElse(false);
        byte[] body =
                asStream ? EngineEventCodec.toStreamingRequest(request.body()) : request.body();
        return new Call(
                mCallIdPrefix + ++mLastCallNumber,
                grant,
                request.method(),
                CallerCredential.forwardedUri(request),
                CallerCredential.forwardedHeaders(request),
                body,
                chat,
                request.header("Idempotency-Key"),
                request.trace(),
                nowMilliseconds);
    }
}
