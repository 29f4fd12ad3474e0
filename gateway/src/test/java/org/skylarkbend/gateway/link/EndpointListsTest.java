package org.skylarkbend.gateway.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.SiteMessage.EndpointsChanged;
import org.skylarkbend.catalog.SiteMessage.EndpointsListed;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which list of endpoints is in force on a gateway. */
public class EndpointListsTest {
    private static final Endpoint FORMER = endpoint("former");
    private static final Endpoint NEWER = endpoint("newer");
    private static final Endpoints OF_CONTROL =
            new Endpoints(List.of(NEWER), Set.of(NEWER.incarnation()));
    private static final Endpoints DIRECT = new Endpoints(List.of(FORMER), Set.of());
    private static final EndpointsChanged CHANGE =
            new EndpointsChanged(
                    8, OF_CONTROL.differenceTo(new Endpoints(List.of(NEWER), Set.of())));

    private EndpointLists mLists;

    @BeforeMethod
    public void start() {
        mLists = new EndpointLists();
    }

    @Test
    public void aDifferenceAppliesToTheListOfControlOnly() {
        assertThat(mLists.changed(CHANGE)).isEmpty();
        mLists.listed(new EndpointsListed(7, OF_CONTROL));
        mLists.readDirectly(mLists.directReadStarted(), DIRECT.endpoints());
        assertThat(mLists.changed(CHANGE)).contains(new Endpoints(List.of(NEWER), Set.of()));
        assertThat(mLists.number()).isEqualTo(8);
        assertThat(mLists.changed(CHANGE)).isEmpty();
    }

    /** Guards against a difference that is applied to the list of another leader. */
    @Test
    public void aDifferenceBeforeTheWholeListOfAConnectionIsNotApplied() {
        mLists.listed(new EndpointsListed(7, OF_CONTROL));
        mLists.disconnected();
        assertThat(mLists.changed(CHANGE)).isEmpty();
    }

    @Test
    public void aListThatWasReadWhileControlWasSilentIsInForceUntilControlIsReached() {
        mLists.listed(new EndpointsListed(7, OF_CONTROL));
        assertThat(mLists.readDirectly(mLists.directReadStarted(), DIRECT.endpoints()))
                .contains(DIRECT);
        assertThat(mLists.controlReached()).contains(OF_CONTROL);
        assertThat(mLists.controlReached()).isEmpty();
    }

    /** Guards against a newer list that a late response of the platform replaces. */
    @Test
    public void aListThatWasAskedForBeforeControlWasReachedIsIgnored() {
        long beforeList = mLists.directReadStarted();
        mLists.listed(new EndpointsListed(7, OF_CONTROL));
        assertThat(mLists.readDirectly(beforeList, DIRECT.endpoints())).isEmpty();
        long beforeConfirmation = mLists.directReadStarted();
        mLists.controlReached();
        assertThat(mLists.readDirectly(beforeConfirmation, DIRECT.endpoints())).isEmpty();
    }

    @Test
    public void aListThatWasAskedForEarlierDoesNotReplaceALaterOne() {
        long earlier = mLists.directReadStarted();
        long later = mLists.directReadStarted();
        assertThat(mLists.readDirectly(later, DIRECT.endpoints())).contains(DIRECT);
        assertThat(mLists.readDirectly(earlier, OF_CONTROL.endpoints())).isEmpty();
    }

    private static Endpoint endpoint(String id) {
        return new Endpoint(id, "replica", "127.0.0.1", 1, "z", "v1", 1, false, 0, Map.of());
    }
}
