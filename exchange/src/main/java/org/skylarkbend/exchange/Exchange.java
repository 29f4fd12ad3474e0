package org.skylarkbend.exchange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Request to an endpoint and its response. It is confined to the task that started it, on whose
 * context the listener is called. A cancelled exchange notifies its listener of nothing more.
 */
public final class Exchange {
    private final ExchangeRequest mRequest;
    private final Consumer<ExchangeEvent> mListener;
    private final Deque<ExchangeEvent> mDelayed = new ArrayDeque<>();
    private Runnable mOnCancel = () -> {};
    private Optional<EndpointConnection> mConnection = Optional.empty();
    private boolean mPaused;
    private boolean mCancelled;

    /** Creates an exchange, to be started by {@link EndpointClient#start}. */
    public Exchange(ExchangeRequest request, Consumer<ExchangeEvent> listener) {
        mRequest = request;
        mListener = listener;
    }

    /** Stops reading the response until {@link #resume}. */
    public void pause() {
        mPaused = true;
        mConnection.ifPresent(connection -> connection.setReading(false));
    }

    /** Reads the response again. */
    public void resume() {
        mPaused = false;
        while (!mPaused && !mCancelled && !mDelayed.isEmpty()) {
            mListener.accept(mDelayed.poll());
        }
        if (!mPaused) {
            mConnection.ifPresent(connection -> connection.setReading(true));
        }
    }

    /** Cancels the exchange. If the request was sent, its connection is closed. */
    public void cancel() {
        if (!mCancelled) {
            mCancelled = true;
            mDelayed.clear();
            mOnCancel.run();
            mConnection.ifPresent(EndpointConnection::close);
        }
    }

    ExchangeRequest request() {
        return mRequest;
    }

    boolean isCancelled() {
        return mCancelled;
    }

    /** Sets what to run when the exchange is cancelled while it waits for a connection. */
    void onCancel(Runnable onCancel) {
        mOnCancel = onCancel;
    }

    void attach(EndpointConnection connection) {
        mConnection = Optional.of(connection);
        if (mPaused) {
            connection.setReading(false);
        }
    }

    void detach() {
        mConnection = Optional.empty();
    }

    void deliver(ExchangeEvent event) {
        if (mCancelled) {
            return;
        }
        if (mPaused) {
            mDelayed.add(event);
        } else {
            mListener.accept(event);
        }
    }
}
