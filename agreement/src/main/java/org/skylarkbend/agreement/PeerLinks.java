package org.skylarkbend.agreement;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.SnapshotPiece;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameDialer;

/** The connections that a member has opened to the other VMs. Owned by one task. */
final class PeerLinks {
    private static final StructuredLog LOG = StructuredLog.of(PeerLinks.class);

    /** A VM that is neither a contact nor a member is dialled so often, then forgotten. */
    private static final int FAILURES_BEFORE_FORGETTING = 10;

    private final Vertx mVertx;
    private final FrameDialer<Envelope> mDialer;
    private final ObjectName mSelf;
    private final MemberDirectory mDirectory;
    private final Predicate<ObjectName> mIsMember;
    private final long mRedialMilliseconds;
    private final Map<ObjectName, FrameConnection<Envelope>> mConnections = new HashMap<>();
    private final Map<ObjectName, Integer> mFailuresByDialed = new HashMap<>();
    private boolean mClosed;

    PeerLinks(
            Vertx vertx,
            FrameDialer<Envelope> dialer,
            ObjectName self,
            MemberDirectory directory,
            Predicate<ObjectName> isMember,
            long redialMilliseconds) {
        mVertx = vertx;
        mDialer = dialer;
        mSelf = self;
        mDirectory = directory;
        mIsMember = isMember;
        mRedialMilliseconds = redialMilliseconds;
    }

    void open() {
        mDirectory.contacts().forEach(this::call);
    }

    /**
     * Sends where a connection is open, and opens one where there is none. Entries and pieces wait
     * for another time if it is full.
     */
    void send(ObjectName vm, Envelope envelope) {
        FrameConnection<Envelope> connection = mConnections.get(vm);
        if (connection == null) {
            call(vm);
        } else if (!(connection.isCongested() && isBulk(envelope.message()))) {
            connection.send(envelope);
        }
    }

    void sendToAll(Envelope envelope) {
        mConnections.values().forEach(connection -> connection.send(envelope));
    }

    void close() {
        mClosed = true;
        Map.copyOf(mConnections).values().forEach(FrameConnection::close);
        mDialer.close();
    }

    private static boolean isBulk(AgreementMessage message) {
        return message instanceof SnapshotPiece
                || message instanceof AppendRequest request && !request.entries().isEmpty();
    }

    /** Opens a connection to a VM unless one is open or being opened. */
    private void call(ObjectName vm) {
        if (!vm.equals(mSelf) && mFailuresByDialed.putIfAbsent(vm, 0) == null) {
            dial(vm);
        }
    }

    private void dial(ObjectName vm) {
        Optional<MemberAddress> address = mDirectory.addressOf().apply(vm);
        if (mClosed || address.isEmpty()) {
            mFailuresByDialed.remove(vm);
            return;
        }
        mDialer.dial(address.get().host(), address.get().port())
                .onSuccess(connection -> opened(vm, connection))
                .onFailure(cause -> failed(vm, cause));
    }

    private void opened(ObjectName vm, FrameConnection<Envelope> connection) {
        if (mClosed) {
            connection.close();
            return;
        }
        LOG.info("agreement.peer.connected", "vm", vm);
        mFailuresByDialed.put(vm, 0);
        mConnections.put(vm, connection);
        connection.onClose(
                () -> {
                    mConnections.remove(vm, connection);
                    redialLater(vm);
                });
    }

    private void failed(ObjectName vm, Throwable cause) {
        int failures = mFailuresByDialed.merge(vm, 1, Integer::sum);
        if (failures == 1) {
            LOG.warn("agreement.peer.unreachable", "vm", vm, "detail", cause.getMessage());
        }
        boolean isWanted = mDirectory.contacts().contains(vm) || mIsMember.test(vm);
        if (isWanted || failures < FAILURES_BEFORE_FORGETTING) {
            redialLater(vm);
        } else {
            mFailuresByDialed.remove(vm);
        }
    }

    private void redialLater(ObjectName vm) {
        if (!mClosed) {
            mVertx.setTimer(mRedialMilliseconds, id -> dial(vm));
        }
    }
}
