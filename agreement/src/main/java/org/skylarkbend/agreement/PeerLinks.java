package org.skylarkbend.agreement;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.SnapshotChunk;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameDialer;

/** The outgoing connections of a member to the other VMs. Owned by one task. */
final class PeerLinks {
    private static final StructuredLog LOG = StructuredLog.of(PeerLinks.class);

    /** The number of failed attempts after which a VM that is no seed and no member is dropped. */
    private static final int MAX_UNKNOWN_VM_FAILURES = 10;

    private final Vertx mVertx;
    private final FrameDialer<Envelope> mDialer;
    private final ObjectName mSelf;
    private final MemberDirectory mDirectory;
    private final Predicate<ObjectName> mIsMember;
    private final long mReconnectMilliseconds;
    private final Map<ObjectName, FrameConnection<Envelope>> mConnections = new HashMap<>();
    private final Map<ObjectName, Integer> mFailuresByVm = new HashMap<>();
    private boolean mClosed;

    PeerLinks(
            Vertx vertx,
            FrameDialer<Envelope> dialer,
            ObjectName self,
            MemberDirectory directory,
            Predicate<ObjectName> isMember,
            long reconnectMilliseconds) {
        mVertx = vertx;
        mDialer = dialer;
        mSelf = self;
        mDirectory = directory;
        mIsMember = isMember;
        mReconnectMilliseconds = reconnectMilliseconds;
    }

    void open() {
        mDirectory.seedVms().forEach(this::connect);
    }

    /**
     * Sends a message if a connection to the VM is open, otherwise opens one. Entries and snapshot
     * chunks are dropped while the connection is congested, and resent by the leader later.
     */
    void send(ObjectName vm, Envelope envelope) {
        FrameConnection<Envelope> connection = mConnections.get(vm);
        if (connection == null) {
            connect(vm);
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
        return message instanceof SnapshotChunk
                || message instanceof AppendRequest request && !request.entries().isEmpty();
    }

    /** Opens a connection to a VM unless one is open or pending. */
    private void connect(ObjectName vm) {
        if (!vm.equals(mSelf) && mFailuresByVm.putIfAbsent(vm, 0) == null) {
            dial(vm);
        }
    }

    private void dial(ObjectName vm) {
        Optional<MemberAddress> address = mDirectory.addressOf().apply(vm);
        if (mClosed || address.isEmpty()) {
            mFailuresByVm.remove(vm);
            return;
        }
        mDialer.dial(address.get().host(), address.get().port())
                .onSuccess(connection -> onConnected(vm, connection))
                .onFailure(cause -> onConnectFailed(vm, cause));
    }

    private void onConnected(ObjectName vm, FrameConnection<Envelope> connection) {
        if (mClosed) {
            connection.close();
            return;
        }
        LOG.info("agreement.peer.connected", "vm", vm);
        mFailuresByVm.put(vm, 0);
        mConnections.put(vm, connection);
        connection.onClose(
                () -> {
                    mConnections.remove(vm, connection);
                    reconnectLater(vm);
                });
    }

    private void onConnectFailed(ObjectName vm, Throwable cause) {
        int failures = mFailuresByVm.merge(vm, 1, Integer::sum);
        if (failures == 1) {
            LOG.warn("agreement.peer.unreachable", "vm", vm, "detail", cause.getMessage());
        }
        boolean isKnown = mDirectory.seedVms().contains(vm) || mIsMember.test(vm);
        if (isKnown || failures < MAX_UNKNOWN_VM_FAILURES) {
            reconnectLater(vm);
        } else {
            mFailuresByVm.remove(vm);
        }
    }

    private void reconnectLater(ObjectName vm) {
        if (!mClosed) {
            mVertx.setTimer(mReconnectMilliseconds, id -> dial(vm));
        }
    }
}
