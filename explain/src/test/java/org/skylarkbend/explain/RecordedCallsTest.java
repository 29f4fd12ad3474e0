package org.skylarkbend.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.skylarkbend.explain.StoryEntry.Role;
import org.testng.annotations.Test;

/** Explains calls from recorded lines of played days. */
public class RecordedCallsTest {
    private static final List<String> DAY = Stories.lateSecondAnswers();

    @Test
    public void aCallThatGotTheAnswerOfAnotherNamesTheAttemptAndTheBytesBesideIt() {
        CallStory story = Stories.of("42e614e2513f9044", DAY);
        Verdict verdict = story.verdict();
        assertThat(verdict.decided())
                .isEqualTo(
                        "the attempt at i-2522d81ddc@1776679797866 ended as BROKEN (the response"
                                + " has another request ID or no seal), and the call was not sent"
                                + " on");
        assertThat(names(verdict.inputs())).containsExactly("attempt.failed", "call.ended");
        assertThat(names(verdict.beside())).containsExactly("endpoint.stray_bytes");
        assertThat(verdict.missing()).anyMatch(text -> text.contains("neither the connection"));
        assertThat(verdict.stale()).isEmpty();
    }

    @Test
    public void theStepsOfACallAreInOrderOfTimeAndBeginWithItsArrival() {
        CallStory story = Stories.of("dac7d6d1ac42ae5e", DAY);
        assertThat(story.entries().stream().map(StoryEntry::role))
                .containsExactly(Role.ARRIVAL, Role.CALL, Role.CALL, Role.CALL, Role.BELIEF);
        assertThat(story.entries().get(0).timeMicroseconds()).hasValue(4_108_300);
        assertThat(story.entries().stream().map(e -> e.timeMicroseconds().getAsLong())).isSorted();
        assertThat(story.entriesBefore().stream().map(e -> ((LogLine.Event) e.line()).name()))
                .containsExactly(
                        "front.started",
                        "link.control.reached",
                        "quarantine.notice",
                        "catalog.in_force",
                        "gateway.ready");
    }

    @Test
    public void theOrderOfTheLinesReadDoesNotMatter() {
        List<String> shuffled = new ArrayList<>(DAY);
        Collections.shuffle(shuffled, new Random(301));
        assertThat(Stories.of("2d173edd5109213b", shuffled).verdict().decided())
                .isEqualTo(Stories.of("2d173edd5109213b", DAY).verdict().decided());
        assertThat(times(Stories.of("2d173edd5109213b", shuffled)))
                .isEqualTo(times(Stories.of("2d173edd5109213b", DAY)));
    }

    @Test
    public void aServerErrorIsPutDownToTheEndpointThatAnsweredLast() {
        Verdict verdict = Stories.of("2d173edd5109213b", DAY).verdict();
        assertThat(verdict.decided())
                .isEqualTo(
                        "i-2522d81ddc@1776679797866 answered with status 500, and the gateway"
                                + " passed that on");
        assertThat(names(verdict.inputs())).containsExactly("attempt.failed", "call.ended");
        assertThat(verdict.missing()).anyMatch(text -> text.contains("no line of an endpoint"));
    }

    @Test
    public void aCallThatRanOutOfTimeIsNotGivenACauseThatNoLineShows() {
        String id = idOf("endpoint_timeout");
        Verdict verdict = Stories.of(id, DAY).verdict();
        assertThat(verdict.isCauseShown()).isFalse();
        assertThat(verdict.decided()).contains("the deadline").contains("had not begun to respond");
        assertThat(verdict.missing())
                .contains("the deadline that the caller set")
                .anyMatch(text -> text.startsWith("why "));
    }

    @Test
    public void aRefusalOnArrivalNamesTheCatalogThatDecidedIt() {
        Verdict verdict = Stories.of("adfe6aa724f603fc", DAY).verdict();
        assertThat(verdict.decided()).startsWith("refused on arrival as key_refused: ");
        assertThat(names(verdict.inputs())).containsExactly("call.refused", "catalog.in_force");
    }

    @Test
    public void logsWithoutAControlProcessAreSaidToLackIt() {
        assertThat(Stories.of("42e614e2513f9044", DAY).verdict().missing())
                .anyMatch(text -> text.startsWith("no log of a control process"));
    }

    @Test
    public void allCallsAtTheEndpointAreCountedBesideTheCall() {
        EndpointTally tally = Stories.of("42e614e2513f9044", DAY).surroundings().tallies().get(0);
        assertThat(tally.endpoint()).isEqualTo("i-2522d81ddc@1776679797866");
        assertThat(tally.served()).isEqualTo(count("i-2522d81ddc", "status=200"));
        assertThat(tally.notServed()).isEqualTo(count("i-2522d81ddc", "status=5")).isPositive();
        assertThat(tally.failedAttempts())
                .containsEntry("BROKEN: the response has another request ID or no seal", 1);
    }

    /** Lines of rmtc-thies, trouble-1. */
    @Test
    public void aCallAtItsLimitShowsTheChangeOfOwnerBesideItAndClaimsNoMore() {
        Verdict verdict =
                Stories.of(
                                "bb0b235bf20c5570",
                                "2.62 front-thies-nord-1 event=call.ended id=bb0b235bf20c5570"
                                        + " route=r-xhswwxq customer=nyje240 catalog=3"
                                        + " outcome=rate_exceeded status=429 sent=0 tried=0"
                                        + " elapsed_milliseconds=100",
                                "3.00 core-thies-centre-1 event=control.limits.owner term=3"
                                        + " routers=8")
                        .verdict();
        assertThat(verdict.isCauseShown()).isFalse();
        assertThat(verdict.decided()).contains("close to a change of the limits' owner");
        assertThat(names(verdict.beside())).containsExactly("control.limits.owner");
        assertThat(verdict.missing()).anyMatch(text -> text.contains("is not logged"));
    }

    /** Lines of rmtc-thies, trouble-1, and the line by which control has the catalog. */
    @Test
    public void aGatewayWithoutACatalogWasOutOfDateWhenControlHadOne() {
        Verdict verdict =
                Stories.of(
                                "b04957ee71010d7e",
                                "30.00 core-thies-centre-1 event=site.catalog number=3 bytes=9",
                                "37.57 front-thies-nord-1 event=call.refused id=b04957ee71010d7e"
                                        + " kind=router_stale catalog=0 detail=\"this gateway has"
                                        + " not received a catalog yet\"")
                        .verdict();
        assertThat(verdict.decided())
                .isEqualTo(
                        "refused on arrival as router_stale: this gateway has not received a"
                                + " catalog yet");
        assertThat(verdict.stale())
                .singleElement()
                .satisfies(
                        stale -> {
                            assertThat(stale.process()).isEqualTo("front-thies-nord-1");
                            assertThat(stale.believed()).isEqualTo("catalog 0 was the newest");
                            assertThat(stale.shownBy().line().name()).isEqualTo("site.catalog");
                        });
    }

    @Test
    public void anIdThatNoLineIsAboutHasNoStory() {
        assertThat(Stories.find("0000000000000000", DAY)).isEmpty();
        assertThat(Stories.find("42e614e2", DAY)).isEmpty();
    }

    private static List<String> names(List<Evidence> evidence) {
        return evidence.stream().map(item -> ((LogLine.Event) item.line()).name()).toList();
    }

    private static List<Long> times(CallStory story) {
        return story.entries().stream().map(e -> e.timeMicroseconds().getAsLong()).toList();
    }

    private static int count(String... texts) {
        return (int)
                DAY.stream()
                        .filter(line -> line.contains("event=call.ended"))
                        .filter(line -> line.strip().startsWith("10."))
                        .filter(line -> List.of(texts).stream().allMatch(line::contains))
                        .count();
    }

    private static String idOf(String outcome) {
        String line = DAY.stream().filter(l -> l.contains(outcome)).findFirst().orElseThrow();
        return line.replaceAll(".* id=(\\S+) .*", "$1");
    }
}
