package org.skylarkbend.router;

import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Thread-safe message queue of a task. Messages are processed one at a time on the task's Vert.x
 * context.
 *
 * <p>Messages received before the task has started are buffered.
 *
 * @param <M> the sealed type of immutable messages
 */
public final class Mailbox<M> implements Consumer<M> {
    private final List<M> mPending = new ArrayList<>();
    private Context mContext;
    private Consumer<M> mHandler;

    /** Binds the mailbox to its task. Must be called once, when the task starts. */
    public synchronized void bind(Context context, Consumer<M> handler) {
        mContext = context;
        mHandler = handler;
        mPending.forEach(this::dispatch);
        mPending.clear();
    }

    @Override
    public synchronized void accept(M message) {
        if (mContext == null) {
            mPending.add(message);
        } else {
            dispatch(message);
        }
    }

    private void dispatch(M message) {
        mContext.runOnContext(ignored -> mHandler.accept(message));
    }
}
