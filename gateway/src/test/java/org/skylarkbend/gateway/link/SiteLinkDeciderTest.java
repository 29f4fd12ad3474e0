package org.skylarkbend.gateway.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.publishing.feed.FeedMessage.NotLeader;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;
import org.skylarkbend.publishing.feed.FeedMessage.SetRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which control VM a gateway connects to and which catalog it accepts. */
public class SiteLinkDeciderTest {
    private static final int PORT = 7_601;

    /** The heartbeats that were sent when the link was connected first. */
    private static final long SENT_BEFORE = 1;

    private SiteLinkDecider mLink;

    @BeforeMethod
    public void connectToTheFirstSeed() {
        RouterHello hello = new RouterHello(ObjectName.of("front-1"), ObjectName.of("z"), 1);
        mLink = new SiteLinkDecider(hello, List.of("10.0.0.1", "10.0.0.2"), PORT);
        assertThat(decide(new SiteLinkMessage.Started()))
                .containsExactly(new SiteLinkEffect.Dial(address("10.0.0.1"), 0));
        decide(new SiteLinkMessage.Connected());
    }

    @Test
    public void theNextSeedIsTriedWhenOneIsUnreachable() {
        assertThat(dialed(decide(new SiteLinkMessage.Disconnected()))).isEqualTo("10.0.0.2");
        assertThat(dialed(decide(new SiteLinkMessage.Disconnected()))).isEqualTo("10.0.0.1");
    }

    @Test
    public void aLeaderThatIsNoSeedIsFollowedAtOnce() {
        List<SiteLinkEffect> effects = receive(new NotLeader(Optional.of(address("10.0.0.9"))));
        assertThat(effects).anyMatch(SiteLinkEffect.Close.class::isInstance);
        assertThat(decide(new SiteLinkMessage.Disconnected()))
                .containsExactly(new SiteLinkEffect.Dial(address("10.0.0.9"), 0));
    }

    @Test
    public void discoveredControlVmsAreTriedWhenAllSeedsAreUnreachable() {
        decide(new SiteLinkMessage.ControlVmsListed(List.of("10.0.0.5")));
        assertThat(dialed(decide(new SiteLinkMessage.Disconnected()))).isEqualTo("10.0.0.2");
        assertThat(dialed(decide(new SiteLinkMessage.Disconnected()))).isEqualTo("10.0.0.5");
    }

    @Test
    public void seedsOfChangedSettingsReplaceTheOldOnes() {
        decide(new SiteLinkMessage.SeedsChanged(List.of("10.0.0.7")));
        assertThat(dialed(decide(new SiteLinkMessage.Disconnected()))).isEqualTo("10.0.0.7");
        assertThat(dialed(decide(new SiteLinkMessage.Disconnected()))).isEqualTo("10.0.0.7");
    }

    @Test
    public void aNewerCatalogIsFetchedAndAnOlderOneIsNeverTaken() {
        assertThat(receive(new ServingLease(1, 8, 1)))
                .containsExactly(new SiteLinkEffect.Send(new SetRequest(0)));
        assertThat(receive(new SetDocument(8, "eight")))
                .contains(new SiteLinkEffect.ApplyDocument(8, "eight"));
        assertThat(receive(new SetDocument(4, "four"))).isEmpty();
        assertThat(receive(new SetDocument(8, "other"))).isEmpty();
    }

    @Test
    public void theConnectionToALeaderThatConfirmsNothingIsClosed() {
        List<SiteLinkEffect> effects = mLink.decide(new SiteLinkMessage.HeartbeatDue(), 1_000_000);
        assertThat(effects).hasOnlyElementsOfType(SiteLinkEffect.Close.class);
    }

    /** Guards against a gateway that goes on with what it knew before a pause. */
    @Test
    public void afterAPauseTheLeaderIsLeftAndOnlyANewerCatalogIsTaken() {
        receive(new SetDocument(8, "eight"));
        decide(new SiteLinkMessage.DocumentRead(8));
        long afterPauseMilliseconds = 60_000;
        assertThat(mLink.decide(new SiteLinkMessage.HeartbeatDue(), afterPauseMilliseconds))
                .hasOnlyElementsOfType(SiteLinkEffect.Close.class);
        assertThat(receive(new SetDocument(7, "sent before the pause"))).isEmpty();
        mLink.decide(new SiteLinkMessage.Disconnected(), afterPauseMilliseconds);
        assertThat(mLink.decide(new SiteLinkMessage.Connected(), afterPauseMilliseconds))
                .contains(new SiteLinkEffect.Send(new RouterHeartbeat(1 + SENT_BEFORE, 8)));
        assertThat(receive(new ServingLease(1 + SENT_BEFORE, 9, 1)))
                .containsExactly(new SiteLinkEffect.Send(new SetRequest(8)));
        assertThat(receive(new SetDocument(9, "nine")))
                .contains(new SiteLinkEffect.ApplyDocument(9, "nine"));
    }

    /** Guards against a heartbeat that names a catalog which is not in force yet. */
    @Test
    public void aHeartbeatNamesACatalogOnceItWasRead() {
        receive(new SetDocument(8, "eight"));
        assertThat(decide(new SiteLinkMessage.HeartbeatDue()))
                .containsExactly(new SiteLinkEffect.Send(new RouterHeartbeat(1 + SENT_BEFORE, 0)));
        decide(new SiteLinkMessage.DocumentRead(8));
        assertThat(decide(new SiteLinkMessage.HeartbeatDue()))
                .containsExactly(new SiteLinkEffect.Send(new RouterHeartbeat(2 + SENT_BEFORE, 8)));
    }

    private List<SiteLinkEffect> receive(FeedMessage message) {
        return decide(new SiteLinkMessage.Received(message));
    }

    private List<SiteLinkEffect> decide(SiteLinkMessage message) {
        return mLink.decide(message, 0);
    }

    private static String dialed(List<SiteLinkEffect> effects) {
        return ((SiteLinkEffect.Dial) effects.get(0)).address().host();
    }

    private static ControlAddress address(String host) {
        return new ControlAddress(host, PORT);
    }
}
