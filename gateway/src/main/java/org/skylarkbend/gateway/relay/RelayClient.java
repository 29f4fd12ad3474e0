package org.skylarkbend.gateway.relay;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.Relay;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.gateway.relay.RelayMessage.NotOpened;
import org.skylarkbend.gateway.relay.RelayMessage.Open;
import org.skylarkbend.gateway.relay.RelayMessage.Opened;
import org.skylarkbend.gateway.relay.RelayMessage.Reason;
import org.skylarkbend.wire.FrameAssembler;

/** Opens connections to endpoints through other gateways. */
final class RelayClient {
    private final Vertx mVertx;
    private final EndpointDialer mDialer;
    private final long mTimeoutMilliseconds;
    private final RelayCodec mCodec = new RelayCodec();

    /** Response of a relay. */
    sealed interface Response {
        /** The connection to the endpoint, to be used like one of the gateway's own. */
        record Connected(NetSocket socket) implements Response {}

        /** The relay has opened no connection. */
        record Refused(Reason reason) implements Response {}
    }

    /** Creates a client whose futures complete within a time. */
    RelayClient(Vertx vertx, long timeoutMilliseconds) {
        mVertx = vertx;
        mTimeoutMilliseconds = timeoutMilliseconds;
        mDialer = EndpointDialer.direct(vertx, timeoutMilliseconds);
    }

    /** Asks a relay for a connection. The future fails if the relay does not respond in time. */
    Future<Response> open(Relay relay, SocketAddress endpoint) {
        return mDialer.dial(SocketAddress.inetSocketAddress(relay.port(), relay.host()))
                .compose(socket -> open(socket, endpoint));
    }

    private Future<Response> open(NetSocket socket, SocketAddress endpoint) {
        Promise<Response> response = Promise.promise();
        FrameAssembler frames = new FrameAssembler(RelayCodec.MAX_PAYLOAD_BYTES);
        long timer =
                mVertx.setTimer(
                        mTimeoutMilliseconds,
                        id -> response.tryFail("the relay did not respond in time"));
        socket.exceptionHandler(response::tryFail);
        socket.closeHandler(ignored -> response.tryFail("the relay closed the connection"));
        socket.handler(
                chunk ->
                        frames.feed(chunk.getBytes())
                                .match(
                                        payloads -> received(payloads, socket, response),
                                        error -> response.tryFail(error.detail())));
        socket.write(
                Buffer.buffer(
                        FrameAssembler.frameOf(
                                mCodec.encode(new Open(endpoint.host(), endpoint.port())))));
        return response.future()
                .onComplete(ignored -> mVertx.cancelTimer(timer))
                .onFailure(e -> socket.close());
    }

    private void received(List<byte[]> payloads, NetSocket socket, Promise<Response> response) {
        if (!payloads.isEmpty()) {
            single(payloads)
                    .flatMap(mCodec::decode)
                    .match(
                            message -> handle(message, socket, response),
                            error -> response.tryFail(error.detail()));
        }
    }

    /** A relay sends one message; bytes behind it belong to no request. */
    private static Result<byte[]> single(List<byte[]> payloads) {
        return payloads.size() == 1
                ? Result.success(payloads.get(0))
                : Result.failure(ErrorKind.FRAME_INVALID, "the relay sent too much");
    }

    private static void handle(RelayMessage message, NetSocket socket, Promise<Response> response) {
        if (message instanceof Opened) {
            ((NetSocketInternal) socket)
                    .channelHandlerContext()
                    .pipeline()
                    .addFirst("tunnel", new TunnelDecoder());
            if (!response.tryComplete(new Response.Connected(socket))) {
                socket.close();
            }
        } else if (message instanceof NotOpened notOpened) {
            response.tryComplete(new Response.Refused(notOpened.reason()));
            socket.close();
        } else {
            response.tryFail("the relay sent an unexpected message");
        }
    }
}
