package org.skylarkbend.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Explains calls from lines in the form that the processes write. */
public class CallStoryTest {
    private static final String ID = "a1";
    private static final String E1 = "i-1@100";
    private static final String BROKEN = "outcome=BROKEN cause=\"connection closed\" sent=1";

    @Test
    public void aCatalogThatAnotherProcessHadReplacedWasOutOfDate() {
        List<StaleBelief> stale =
                Stories.of(
                                ID,
                                "8.0 core-1 event=site.catalog number=4",
                                "9.0 front-2 event=catalog.in_force number=4",
                                ended(10.0, "answered", 200, "tried=1 endpoint=" + E1))
                        .verdict()
                        .stale();
        assertThat(stale).singleElement();
        assertThat(stale.get(0).believed()).isEqualTo("catalog 3 was the newest");
        assertThat(stale.get(0).shownBy().timeMicroseconds()).isEqualTo(8_000_000);
    }

    @Test
    public void aCatalogThatWasReplacedAfterTheArrivalWasNotOutOfDate() {
        assertThat(
                        Stories.of(
                                        ID,
                                        "10.5 core-1 event=site.catalog number=4",
                                        ended(10.0, "answered", 200, "tried=1 endpoint=" + E1))
                                .verdict()
                                .stale())
                .isEmpty();
    }

    @Test
    public void anEndpointThatAnotherGatewayHadLostWasWronglyTakenForUsable() {
        StaleBelief stale =
                Stories.of(
                                ID,
                                "9.0 front-2 event=endpoint.lost endpoint=" + E1,
                                failed(10.0, E1, BROKEN),
                                ended(10.0, "endpoint_failed", 502, "tried=1 endpoint=" + E1))
                        .verdict()
                        .stale()
                        .get(0);
        assertThat(stale.process()).isEqualTo("front-1");
        assertThat(stale.believed()).isEqualTo(E1 + " takes calls");
        assertThat(stale.shownBy().process()).isEqualTo("front-2");
    }

    @Test
    public void anEndpointThatWasRegainedOrLostOnlyLaterWasNotOutOfDate() {
        assertThat(
                        Stories.of(
                                        ID,
                                        "8.0 front-2 event=endpoint.lost endpoint=" + E1,
                                        "9.0 front-2 event=endpoint.regained endpoint=" + E1,
                                        "11.0 front-3 event=endpoint.lost endpoint=" + E1,
                                        failed(10.0, E1, BROKEN),
                                        ended(10.0, "endpoint_failed", 502, "tried=1"))
                                .verdict()
                                .stale())
                .isEmpty();
    }

    @Test
    public void aGatewayThatHadLostControlBelievedWhatItHadBefore() {
        assertThat(
                        Stories.of(
                                        ID,
                                        "1.0 front-1 event=link.control.reached",
                                        "2.0 front-1 event=link.control.lost silent_milliseconds=9",
                                        ended(10.0, "answered", 200, "tried=1 endpoint=" + E1))
                                .verdict()
                                .stale())
                .singleElement()
                .satisfies(stale -> assertThat(stale.believed()).contains("loss of control"));
    }

    /** Guards against a refusal whose cause at its own gateway stays unseen. */
    @Test
    public void aStoryShowsThatTheGatewayWasCutOffFromTheEndpointsAndOthersWereNot() {
        CallStory story =
                Stories.of(
                        ID,
                        "9.0 front-1 event=gateway.cut_off relayed=0",
                        "9.1 front-2 event=gateway.cut_off relayed=0",
                        ended(10.0, "no_endpoint", 503, "tried=0"));
        assertThat(
                        Stream.concat(
                                        story.surroundings().before().stream(),
                                        story.surroundings().during().stream())
                                .filter(belief -> belief.topic() == BeliefTopic.REACH)
                                .map(Belief::process))
                .containsExactly("front-1");
    }

    @Test
    public void aQuarantinedPromptNamesTheQuarantineOfItsPartsAndNoOther() {
        Verdict verdict =
                Stories.of(
                                ID,
                                "1.0 core-1 event=quarantine.imposed parts=p1+p2 times=1",
                                "2.0 core-1 event=quarantine.imposed parts=p9 times=1",
                                "10.0 front-1 event=call.quarantined id=a1 parts=p1,p2,p3"
                                        + " waited=false remaining_milliseconds=100",
                                ended(10.0, "prompt_quarantined", 503, "tried=0"))
                        .verdict();
        assertThat(verdict.isCauseShown()).isTrue();
        assertThat(verdict.inputs().stream().map(input -> ((LogLine.Event) input.line()).name()))
                .containsExactly("call.quarantined", "quarantine.imposed");
        assertThat(((LogLine.Event) verdict.inputs().get(1).line()).text("parts"))
                .isEqualTo("p1+p2");
    }

    @Test
    public void aCallThatWaitedAtACrashNamesTheCrashAlsoWhenItIsLoggedAfterItsEnd() {
        Verdict verdict =
                Stories.of(
                                ID,
                                failed(10.0, E1, BROKEN),
                                ended(10.0, "endpoint_failed", 502, "tried=1 endpoint=" + E1),
                                "10.2 front-1 event=endpoint.crashed endpoint="
                                        + E1
                                        + " waiting_calls=2 calls=b7,a1 parts=p1")
                        .verdict();
        assertThat(verdict.decided()).contains(E1).contains("BROKEN");
        assertThat(verdict.inputs())
                .anyMatch(i -> ((LogLine.Event) i.line()).name().equals("endpoint.crashed"));
    }

    @Test
    public void aCallThatAStoppingGatewayCutNamesTheStop() {
        Verdict verdict =
                Stories.of(
                                ID,
                                "9.0 front-1 event=gateway.draining calls=4",
                                ended(10.0, "endpoint_failed", 502, "tried=1 endpoint=" + E1))
                        .verdict();
        assertThat(verdict.isCauseShown()).isTrue();
        assertThat(verdict.decided()).endsWith("since it was shutting down");
    }

    @Test
    public void aCallCutByItsGatewayWithoutALineThatSaysWhyHasNoCause() {
        Verdict verdict =
                Stories.of(ID, ended(10.0, "endpoint_failed", 502, "tried=1 endpoint=" + E1))
                        .verdict();
        assertThat(verdict.isCauseShown()).isFalse();
        assertThat(verdict.missing()).contains("no attempt.failed of that attempt");
    }

    @Test
    public void aCallWithoutAnyEndpointNamesWhatItsGatewayKnewOfEndpoints() {
        Verdict verdict =
                Stories.of(
                                ID,
                                "9.0 front-1 event=endpoint.paused endpoint=i-2@1 milliseconds=900",
                                "9.0 front-2 event=endpoint.paused endpoint=i-3@1 milliseconds=900",
                                ended(10.0, "no_endpoint", 503, "tried=0 endpoint=-"))
                        .verdict();
        assertThat(verdict.isCauseShown()).isTrue();
        assertThat(verdict.inputs()).hasSize(2);
        assertThat(((LogLine.Event) verdict.inputs().get(1).line()).text("endpoint"))
                .isEqualTo("i-2@1");
    }

    @Test
    public void aCallWhoseLinesStopIsNotGivenAnOutcome() {
        Verdict verdict =
                Stories.of(
                                ID,
                                failed(10.0, E1, BROKEN),
                                "10.1 front-1 event=process.failed cause=OutOfMemoryError")
                        .verdict();
        assertThat(verdict.isCauseShown()).isFalse();
        assertThat(verdict.decided()).isEqualTo("the lines about the call stop before its end");
        assertThat(verdict.beside()).hasSize(1);
        assertThat(verdict.missing()).contains("no call.ended and no call.refused of this call");
    }

    @Test
    public void linesThatTheGatewayDroppedAreMissing() {
        assertThat(
                        Stories.of(
                                        ID,
                                        "10.1 front-1 event=log.dropped lines=17",
                                        "10.1 front-2 event=log.dropped lines=5",
                                        ended(10.0, "answered", 200, "tried=1 endpoint=" + E1))
                                .verdict()
                                .missing())
                .contains("front-1 dropped 17 lines")
                .noneMatch(text -> text.startsWith("front-2"));
    }

    @Test
    public void aProcessThatIsSilentInThatTimeIsNamed() {
        assertThat(
                        Stories.of(
                                        ID,
                                        "1.0 core-1 event=agreement.role role=LEADER term=2",
                                        "9.0 core-2 event=agreement.role role=LEADER term=3",
                                        ended(10.0, "answered", 200, "tried=1 endpoint=" + E1))
                                .verdict()
                                .missing())
                .contains("no lines in that time from core-1");
    }

    @Test
    public void linesOfSeveralGatewaysAboutOneIdAreSaid() {
        Verdict verdict =
                Stories.of(
                                ID,
                                ended(10.0, "no_endpoint", 503, "tried=0"),
                                ended(11.0, "answered", 200, "tried=1 endpoint=" + E1)
                                        .replace("front-1", "front-2"))
                        .verdict();
        assertThat(verdict.decided()).isEqualTo(E1 + " answered with status 200");
        assertThat(verdict.missing()).anyMatch(text -> text.contains("front-1, front-2"));
    }

    @Test
    public void aCallWhoseLinesHaveNoTimeIsToldWithoutItsSurroundings() {
        CallStory story =
                Stories.of(
                        ID,
                        "9.0 core-1 event=agreement.role role=LEADER term=3",
                        "event=call.ended id=a1 outcome=answered status=200 endpoint=" + E1);
        assertThat(story.surroundings().during()).isEmpty();
        assertThat(story.verdict().decided()).isEqualTo(E1 + " answered with status 200");
        assertThat(story.verdict().missing()).anyMatch(text -> text.contains("have no time"));
    }

    @Test
    public void processesWithoutASimulatedTimeAreOrderedByTheirOwnClocks() {
        CallStory story =
                Stories.of(
                        ID,
                        "front-1 2026-04-20T10:10:21.541 level=INFO event=call.refused id=a1"
                                + " kind=router_stale catalog=0 detail=x",
                        "core-1 2026-04-20T10:10:20.000 level=INFO event=agreement.role term=3");
        assertThat(story.call().scale()).isEqualTo(TimeScale.WALL);
        assertThat(story.entries().get(0).line().origin().process()).isEqualTo("core-1");
    }

    @Test
    public void anOutcomeThatIsNotKnownIsSaidSo() {
        Verdict verdict = Stories.of(ID, ended(10.0, "brand_new", 599, "tried=1")).verdict();
        assertThat(verdict.isCauseShown()).isFalse();
        assertThat(verdict.decided()).contains("does not know");
    }

    @Test
    public void everyOutcomeOfAGatewayIsToldWithAndWithoutItsFields() {
        for (String outcome :
                List.of(
                        "answered",
                        "endpoint_timeout",
                        "endpoint_failed",
                        "endpoint_refused",
                        "no_endpoint",
                        "rate_exceeded",
                        "router_draining",
                        "overloaded",
                        "caller_left",
                        "prompt_quarantined")) {
            assertThat(Stories.of(ID, ended(10.0, outcome, 503, "tried=0")).verdict().decided())
                    .isNotEmpty();
            assertThat(
                            Stories.of(ID, "event=call.ended id=a1 outcome=" + outcome)
                                    .verdict()
                                    .decided())
                    .isNotEmpty();
        }
    }

    @Test
    public void linesBesideACallTakeBoundedMemoryAndThoseLeftOutAreCounted() {
        List<String> lines = new ArrayList<>();
        lines.add(ended(10.0, "answered", 200, "tried=1 endpoint=" + E1));
        IntStream.range(0, 5_000)
                .forEach(
                        i -> {
                            lines.add("9.9 front-1 event=endpoint.stray_bytes endpoint=h:" + i);
                            lines.add("0.1 front-1 event=endpoint.stray_bytes endpoint=h:" + i);
                            lines.add("9.9 p" + i + " event=front.started");
                        });
        Surroundings surroundings = Stories.of(ID, lines).surroundings();
        assertThat(surroundings.during()).hasSize(400);
        assertThat(surroundings.before()).hasSize(400);
        assertThat(surroundings.leftOut()).isEqualTo(4_600 + 4_600);
        assertThat(surroundings.processes()).hasSize(4_096);
    }

    private static String failed(double seconds, String endpoint, String rest) {
        return seconds + " front-1 event=attempt.failed id=a1 endpoint=" + endpoint + " " + rest;
    }

    private static String ended(double seconds, String outcome, int status, String rest) {
        return seconds
                + " front-1 event=call.ended id=a1 route=r service=s customer=c catalog=3 outcome="
                + outcome
                + " status="
                + status
                + " sent=1 "
                + rest
                + " elapsed_milliseconds=20";
    }
}
