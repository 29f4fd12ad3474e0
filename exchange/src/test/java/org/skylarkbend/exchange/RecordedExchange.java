package org.skylarkbend.exchange;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Exchange whose events are kept. */
final class RecordedExchange {
    private final Exchange mExchange;
    private final Consumer<ExchangeEvent> mListener;
    private final List<ExchangeEvent> mEvents = new CopyOnWriteArrayList<>();
    private final Promise<RecordedExchange> mEnd = Promise.promise();

    /** Creates an exchange whose events also go to a listener. */
    RecordedExchange(ExchangeRequest request, Consumer<ExchangeEvent> listener) {
        mExchange = new Exchange(request, this::record);
        mListener = listener;
    }

    Exchange exchange() {
        return mExchange;
    }

    /** Completes with the last event. */
    Future<RecordedExchange> end() {
        return mEnd.future();
    }

    /** Returns the names of the events so far. */
    List<String> names() {
        return mEvents.stream().map(event -> event.getClass().getSimpleName()).toList();
    }

    ExchangeEvent lastEvent() {
        return mEvents.get(mEvents.size() - 1);
    }

    boolean isComplete() {
        return lastEvent() instanceof ExchangeEvent.Ended;
    }

    /** Returns the status, or 0 if no head was received. */
    int status() {
        return mEvents.stream()
                .filter(ExchangeEvent.HeadReceived.class::isInstance)
                .mapToInt(event -> ((ExchangeEvent.HeadReceived) event).start().status())
                .findFirst()
                .orElse(0);
    }

    String body() {
        Buffer body = Buffer.buffer();
        for (ExchangeEvent event : mEvents) {
            if (event instanceof ExchangeEvent.ChunkReceived received) {
                body.appendBuffer(received.chunk());
            }
        }
        return body.toString();
    }

    private void record(ExchangeEvent event) {
        mEvents.add(event);
        mListener.accept(event);
        boolean isLast =
                event instanceof ExchangeEvent.Ended
                        || event instanceof ExchangeEvent.Lost
                        || event instanceof ExchangeEvent.NotConnected
                        || event instanceof ExchangeEvent.Rejected;
        if (isLast) {
            mEnd.complete(this);
        }
    }
}
