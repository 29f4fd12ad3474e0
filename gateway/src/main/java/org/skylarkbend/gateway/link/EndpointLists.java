package org.skylarkbend.gateway.link;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.SiteMessage.EndpointsChanged;
import org.skylarkbend.catalog.SiteMessage.EndpointsListed;

/**
 * Decides which list of endpoints is in force: the one of control, or one that was read directly.
 *
 * <p>Control's list is in force again as soon as control is reached. Differences apply to it alone.
 * The state is confined to one task.
 */
final class EndpointLists {
    private Optional<EndpointsListed> mOfControl = Optional.empty();
    private boolean mIsDirectInForce;
    private long mLastRead;
    private long mLastOutdatedRead;

    /** Returns the list that a whole list of control puts in force. */
    Endpoints listed(EndpointsListed listed) {
        mOfControl = Optional.of(listed);
        return ofControlInForce(listed);
    }

    /**
     * Returns the list that a difference of control puts in force, or empty if the list before it
     * was not received on this connection.
     */
    Optional<Endpoints> changed(EndpointsChanged changed) {
        return mOfControl
                .filter(known -> changed.number() == known.number() + 1)
                .map(known -> known.endpoints().after(changed.difference()))
                .map(endpoints -> listed(new EndpointsListed(changed.number(), endpoints)));
    }

    /** Returns the number of the list that the next difference applies to; 0 if there is none. */
    long number() {
        return mOfControl.map(EndpointsListed::number).orElse(0L);
    }

    /** Returns whether control has sent its list on the present connection. */
    boolean isOfControlKnown() {
        return mOfControl.isPresent();
    }

    /**
     * Notes that control has been reached. Returns its list if another one was in force. A list
     * that is being read directly is outdated then.
     */
    Optional<Endpoints> controlReached() {
        if (isOfControlKnown()) {
            mLastOutdatedRead = mLastRead;
        }
        return mOfControl.filter(known -> mIsDirectInForce).map(this::ofControlInForce);
    }

    /** Notes that the connection was closed. The next one begins with the whole list. */
    void disconnected() {
        mOfControl = Optional.empty();
    }

    /** Notes that the list is being read directly, and returns the number of this read. */
    long directReadStarted() {
        return ++mLastRead;
    }

    /**
     * Returns the list that a direct read puts in force, or empty if control was reached since the
     * read was started, or a later read has ended.
     */
    Optional<Endpoints> readDirectly(long read, List<Endpoint> endpoints) {
        if (read <= mLastOutdatedRead) {
            return Optional.empty();
        }
        mLastOutdatedRead = read;
        mIsDirectInForce = true;
        return Optional.of(new Endpoints(endpoints, Set.of()));
    }

    private Endpoints ofControlInForce(EndpointsListed listed) {
        mLastOutdatedRead = mLastRead;
        mIsDirectInForce = false;
        return listed.endpoints();
    }
}
