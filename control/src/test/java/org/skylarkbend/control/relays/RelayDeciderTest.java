package org.skylarkbend.control.relays;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.catalog.Relay;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.catalog.SiteMessage.RelaysListed;
import org.skylarkbend.limits.RouterIdentity;
import org.testng.annotations.Test;

/** Tests which gateways are announced as relays. */
public class RelayDeciderTest {
    private static final RouterIdentity ONE = new RouterIdentity(ObjectName.of("vm-1"), 5);
    private static final RouterIdentity TWO = new RouterIdentity(ObjectName.of("vm-2"), 5);
    private static final Relay A = new Relay("10.0.0.1", 7, "a", false);
    private static final Relay B = new Relay("10.0.0.2", 7, "b", false);

    private final RelayDecider mDecider = new RelayDecider();

    @Test
    public void aListIsAnnouncedOnceAndWhenItChanges() {
        mDecider.clear();
        mDecider.offered(TWO, new RelayOffered(B, true), 0);
        mDecider.offered(ONE, new RelayOffered(A, true), 0);
        assertThat(mDecider.changedRelays(0)).contains(new RelaysListed(List.of(A, B), 2));
        assertThat(mDecider.changedRelays(1)).isEmpty();
        mDecider.offered(ONE, new RelayOffered(A, false), 2);
        assertThat(mDecider.changedRelays(2)).contains(new RelaysListed(List.of(B), 2));
    }

    @Test
    public void aGatewayThatIsNoLongerHeardIsAnnouncedNoMore() {
        mDecider.clear();
        mDecider.offered(ONE, new RelayOffered(A, true), 0);
        mDecider.changedRelays(0);
        assertThat(mDecider.changedRelays(RelayDecider.OFFER_VALID_MILLISECONDS)).isEmpty();
        assertThat(mDecider.changedRelays(RelayDecider.OFFER_VALID_MILLISECONDS + 1))
                .contains(new RelaysListed(List.of(), 0));
    }

    /** Guards against the late offer of a process that has ended. */
    @Test
    public void anOfferOfAnEarlierIncarnationIsIgnored() {
        mDecider.clear();
        mDecider.offered(ONE, new RelayOffered(A, true), 0);
        mDecider.changedRelays(0);
        mDecider.offered(new RouterIdentity(ONE.vm(), 4), new RelayOffered(A, false), 1);
        assertThat(mDecider.changedRelays(1)).isEmpty();
    }
}
