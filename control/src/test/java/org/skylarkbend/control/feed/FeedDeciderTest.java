package org.skylarkbend.control.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.control.feed.FeedEffect.Close;
import org.skylarkbend.control.feed.FeedEffect.Confirm;
import org.skylarkbend.control.feed.FeedEffect.Propose;
import org.skylarkbend.control.feed.FeedEffect.ReportConnected;
import org.skylarkbend.control.feed.FeedEffect.ReportInForce;
import org.skylarkbend.control.feed.FeedEffect.Send;
import org.skylarkbend.control.feed.FeedInput.ConfirmationEnded;
import org.skylarkbend.control.feed.FeedInput.ConnectionEnded;
import org.skylarkbend.control.feed.FeedInput.LeadershipChanged;
import org.skylarkbend.control.feed.FeedInput.RevisionCommitted;
import org.skylarkbend.control.feed.FeedInput.RouterSent;
import org.skylarkbend.control.feed.FeedInput.TimePassed;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.publishing.feed.FeedMessage.NotLeader;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;
import org.skylarkbend.publishing.feed.FeedMessage.SetRequest;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the granting of serving leases and the tracking of the revision in force. */
public class FeedDeciderTest {
    private static final long LEASE_MILLISECONDS = 5_000;
    private static final long SAFE_EXPIRY_MILLISECONDS = 5_500;
    private static final Optional<ControlAddress> OTHER =
            Optional.of(new ControlAddress("127.0.0.1", 7_002));

    private FeedDecider mFeed;
    private long mNowMilliseconds;

    @BeforeMethod
    public void leaderWhoseFormerLeasesHaveLapsed() {
        FeedOptions options =
                FeedOptions.of(
                        LEASE_MILLISECONDS,
                        Map.of("ledger", payload -> payload.length == 1),
                        Set.of("limits"));
        mFeed = new FeedDecider(options);
        mNowMilliseconds = 0;
        decide(new LeadershipChanged(true, Optional.empty()));
        mNowMilliseconds = SAFE_EXPIRY_MILLISECONDS;
        decide(new RevisionCommitted(1, "one"));
    }

    @Test
    public void aLeaseIsGivenOnlyAfterAQuorumConfirmedTheLeadershipAfterTheHeartbeat() {
        hello(1, "entry-1", 7);
        assertThat(heartbeat(1, 1, 0)).containsExactly(new Confirm(1));
        assertThat(heartbeat(1, 2, 0)).as("came after the confirmation began").isEmpty();
        assertThat(decide(new ConfirmationEnded(1, true)))
                .containsExactly(
                        new ReportConnected(ObjectName.of("entry-1"), 7),
                        lease(1, 1, 1),
                        new Confirm(2));
        assertThat(decide(new ConfirmationEnded(2, true))).containsExactly(lease(1, 2, 1));
    }

    @Test
    public void aHeartbeatWithoutAConfirmationGetsNoLease() {
        hello(1, "entry-1", 7);
        heartbeat(1, 1, 0);
        assertThat(decide(new ConfirmationEnded(1, false)))
                .containsExactly(new Send(1, new NotLeader(Optional.empty())));
    }

    @Test
    public void aConfirmationThatEndsAfterTheLeadershipGivesNoLease() {
        hello(1, "entry-1", 7);
        heartbeat(1, 1, 0);
        assertThat(decide(new LeadershipChanged(false, OTHER)))
                .containsExactly(new Send(1, new NotLeader(OTHER)));
        decide(new LeadershipChanged(true, Optional.empty()));
        assertThat(decide(new ConfirmationEnded(1, true))).isEmpty();
    }

    @Test
    public void aFollowerNamesTheLeader() {
        decide(new LeadershipChanged(false, OTHER));
        hello(1, "entry-1", 7);
        assertThat(heartbeat(1, 1, 0)).containsExactly(new Send(1, new NotLeader(OTHER)));
    }

    @Test
    public void aRevisionIsInForceOnceEveryLiveRouterHasConfirmedIt() {
        serve(1, "entry-1", 1);
        serve(2, "entry-2", 1);
        decide(new RevisionCommitted(2, "two"));
        assertThat(mFeed.status(mNowMilliseconds).inForceRevision()).isEqualTo(1);
        assertThat(heartbeat(1, 2, 2)).doesNotContain(new ReportInForce(2));
        assertThat(heartbeat(2, 2, 2)).contains(new ReportInForce(2));
    }

    @Test
    public void aRouterThatStoppedSendingHeartbeatsHoldsBackUntilItsLeaseHasCertainlyLapsed() {
        serve(1, "entry-1", 1);
        decide(new ConnectionEnded(1));
        decide(new RevisionCommitted(2, "two"));
        mNowMilliseconds += SAFE_EXPIRY_MILLISECONDS - 1;
        assertThat(decide(new TimePassed())).isEmpty();
        mNowMilliseconds += 1;
        assertThat(decide(new TimePassed())).containsExactly(new ReportInForce(2));
    }

    @Test
    public void aRestartedRouterDoesNotHideTheLeaseOfItsFormerIncarnation() {
        serve(1, "entry-1", 1);
        decide(new RevisionCommitted(2, "two"));
        hello(2, "entry-1", 8);
        heartbeat(2, 1, 2);
        assertThat(decide(new ConfirmationEnded(2, true))).doesNotContain(new ReportInForce(2));
        mNowMilliseconds += SAFE_EXPIRY_MILLISECONDS;
        assertThat(decide(new TimePassed())).containsExactly(new ReportInForce(2));
    }

    @Test
    public void aNewLeaderCallsNothingInForceBeforeTheLeasesOfTheFormerOneHaveLapsed() {
        decide(new LeadershipChanged(false, OTHER));
        decide(new LeadershipChanged(true, Optional.empty()));
        decide(new RevisionCommitted(2, "two"));
        mNowMilliseconds += SAFE_EXPIRY_MILLISECONDS - 1;
        assertThat(decide(new TimePassed())).isEmpty();
        mNowMilliseconds += 1;
        assertThat(decide(new TimePassed())).containsExactly(new ReportInForce(2));
    }

    @Test
    public void onlyANewerSetIsSent() {
        hello(1, "entry-1", 7);
        assertThat(sent(1, new SetRequest(0)))
                .containsExactly(new Send(1, new SetDocument(1, "one")));
        assertThat(sent(1, new SetRequest(1))).isEmpty();
    }

    /** Guards against copies of a large set that pile up for a router on a slow connection. */
    @Test
    public void aSetIsSentOnceOnAConnectionHoweverOftenItIsAskedFor() {
        hello(1, "entry-1", 7);
        assertThat(sent(1, new SetRequest(0))).hasSize(1);
        assertThat(sent(1, new SetRequest(0))).isEmpty();
        decide(new RevisionCommitted(2, "two"));
        assertThat(sent(1, new SetRequest(0)))
                .containsExactly(new Send(1, new SetDocument(2, "two")));
        decide(new ConnectionEnded(1));
        hello(2, "entry-1", 7);
        assertThat(sent(2, new SetRequest(0)))
                .containsExactly(new Send(2, new SetDocument(2, "two")));
    }

    @Test
    public void aMessageBeforeTheHelloEndsTheConnection() {
        assertThat(heartbeat(1, 1, 0)).hasOnlyElementsOfType(Close.class).hasSize(1);
    }

    @Test
    public void onlyMessagesOfKnownSlicesReachTheLogAndOnlyAtTheLeader() {
        hello(1, "entry-1", 7);
        SliceMessage ledger = new SliceMessage("ledger", new byte[] {1});
        assertThat(sent(1, ledger)).hasOnlyElementsOfType(Propose.class).hasSize(1);
        assertThat(sent(1, new SliceMessage("publishing", new byte[] {1})))
                .hasOnlyElementsOfType(Close.class)
                .hasSize(1);
        assertThat(sent(1, new SliceMessage("ledger", new byte[] {1, 2})))
                .as("not a message that routers may send")
                .hasOnlyElementsOfType(Close.class)
                .hasSize(1);
        decide(new LeadershipChanged(false, OTHER));
        assertThat(sent(1, ledger)).containsExactly(new Send(1, new NotLeader(OTHER)));
    }

    @Test
    public void whatStandsForAllRoutersIsSentWithTheFirstLeaseAndAtEachChange() {
        SliceMessage first = new SliceMessage("usage", new byte[] {1});
        SliceMessage second = new SliceMessage("usage", new byte[] {2});
        decide(new FeedInput.RetainedMessageChanged(first));
        hello(1, "entry-1", 7);
        heartbeat(1, 1, 1);
        assertThat(decide(new ConfirmationEnded(1, true))).contains(new Send(1, first));
        heartbeat(1, 2, 1);
        assertThat(decide(new ConfirmationEnded(2, true))).doesNotContain(new Send(1, first));
        assertThat(decide(new FeedInput.RetainedMessageChanged(second)))
                .containsExactly(new Send(1, second));
    }

    @Test
    public void aRouterWithALeaseGetsTheUpdateAndALaterOneTheWholeMessage() {
        SliceMessage whole = new SliceMessage("list", new byte[] {1, 2, 3});
        SliceMessage update = new SliceMessage("list", new byte[] {3});
        serve(1, "entry-1", 1);
        assertThat(decide(new FeedInput.RetainedMessageChanged(whole, update)))
                .containsExactly(new Send(1, update));
        hello(2, "entry-2", 7);
        heartbeat(2, 1, 1);
        assertThat(decide(new ConfirmationEnded(2, true)))
                .contains(new Send(2, whole))
                .doesNotContain(new Send(2, update));
    }

    /** Guards against gateways that get the endpoints of a former leadership of this member. */
    @Test
    public void whatALeaderFoundOutIsNotSentAfterItsLeadershipEnded() {
        SliceMessage replicated = new SliceMessage("usage", new byte[] {1});
        SliceMessage found = new SliceMessage("list", new byte[] {2});
        decide(new FeedInput.RetainedMessageChanged(replicated));
        decide(new FeedInput.LeaderMessageChanged(found, found));
        decide(new LeadershipChanged(false, OTHER));
        decide(new LeadershipChanged(true, Optional.empty()));
        hello(1, "entry-1", 7);
        heartbeat(1, 1, 1);
        assertThat(decide(new ConfirmationEnded(2, true)))
                .contains(new Send(1, replicated))
                .doesNotContain(new Send(1, found));
        assertThat(decide(new FeedInput.LeaderMessageChanged(found, found)))
                .containsExactly(new Send(1, found));
    }

    @Test
    public void whatAMemberFindsOutLateIsNotKeptAfterItsLeadershipEnded() {
        SliceMessage found = new SliceMessage("list", new byte[] {2});
        decide(new LeadershipChanged(false, OTHER));
        decide(new FeedInput.LeaderMessageChanged(found, found));
        decide(new LeadershipChanged(true, Optional.empty()));
        hello(1, "entry-1", 7);
        heartbeat(1, 1, 1);
        assertThat(decide(new ConfirmationEnded(2, true))).doesNotContain(new Send(1, found));
    }

    @Test
    public void messagesOfASliceThatTheLeaderOwnsGoToItAndComeBackOnTheNewestConnection() {
        hello(1, "entry-1", 7);
        hello(2, "entry-1", 7);
        SliceMessage limits = new SliceMessage("limits", new byte[] {1, 2, 3});
        assertThat(sent(1, limits)).hasOnlyElementsOfType(FeedEffect.Forward.class).hasSize(1);
        FeedInput reply = new FeedInput.MessageForRouter(ObjectName.of("entry-1"), 7, limits);
        assertThat(decide(reply)).containsExactly(new Send(2, limits));
        decide(new LeadershipChanged(false, OTHER));
        assertThat(sent(1, limits)).containsExactly(new Send(1, new NotLeader(OTHER)));
    }

    private void serve(long connection, String vm, long revision) {
        hello(connection, vm, 7);
        for (FeedEffect effect : heartbeat(connection, 1, revision)) {
            if (effect instanceof Confirm confirm) {
                decide(new ConfirmationEnded(confirm.confirmation(), true));
            }
        }
    }

    private void hello(long connection, String vm, long incarnation) {
        FeedMessage hello =
                new RouterHello(ObjectName.of(vm), ObjectName.of("thies-a"), incarnation);
        sent(connection, hello);
    }

    private List<FeedEffect> heartbeat(long connection, long sequence, long revision) {
        return sent(connection, new RouterHeartbeat(sequence, revision));
    }

    private List<FeedEffect> sent(long connection, FeedMessage message) {
        return decide(new RouterSent(connection, message));
    }

    private List<FeedEffect> decide(FeedInput input) {
        return new ArrayList<>(mFeed.decide(input, mNowMilliseconds));
    }

    private static FeedEffect lease(long connection, long sequence, long revision) {
        return new Send(connection, new ServingLease(sequence, revision, LEASE_MILLISECONDS));
    }
}
