package org.skylarkbend.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.testing.ManualClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Runs the commands with a fake transport to control. */
public class CtlMainTest {
    private static final String VALID_SET =
            "rates:\n  small: {tokens_per_second: 1, burst_tokens: 1}\n";
    private static final Result<ControlResponse> NO_RESPONSE =
            Result.failure(ErrorKind.COMMIT_UNKNOWN, "no answer");

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private final List<ControlRequest> mRequests = new ArrayList<>();
    private final List<Result<ControlResponse>> mResponses = new ArrayList<>();
    private final Map<String, String> mVariables = new HashMap<>();
    private ManualClock mClock;
    private Path mFile;

    @BeforeMethod
    public void environment() throws IOException {
        mOut.reset();
        mErr.reset();
        mRequests.clear();
        mResponses.clear();
        mVariables.clear();
        mVariables.put("SKYLARK_CONTROL", "127.0.0.1:1");
        mVariables.put("SKYLARK_OPERATOR_CREDENTIAL", "sk-secret");
        mClock = new ManualClock(0);
        mFile = Files.createTempFile("set", ".yaml");
        Files.writeString(mFile, VALID_SET);
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFile() throws IOException {
        Files.delete(mFile);
    }

    @Test
    public void aLostAnswerIsFollowedByTheSameSetUnderTheSameId() {
        mResponses.add(NO_RESPONSE);
        mResponses.add(response(503, "{\"error\":{\"kind\":\"no_leader\",\"detail\":\"x\"}}"));
        mResponses.add(response(200, "{\"revision\":8}"));
        mResponses.add(response(200, "{\"in_force_revision\":7}"));
        mResponses.add(response(200, "{\"in_force_revision\":8}"));
        assertThat(run("publish", mFile.toString(), "--base", "7", "--json"))
                .isEqualTo(ExitCode.OK);
        assertThat(mRequests).hasSize(5);
        assertThat(mRequests.get(0).headers()).containsEntry("X-Base-Revision", "7");
        assertThat(mRequests.subList(1, 3)).containsOnly(mRequests.get(0));
        assertThat(out()).contains("\"revision\":8").contains("\"state\":\"in_force\"");
    }

    @Test
    public void aConflictIsNotRetriedAndNamesTheWinner() {
        String body =
                "{\"error\":{\"kind\":\"revision_conflict\",\"detail\":\"revision 8 won, published"
                        + " as other\"}}";
        mResponses.add(response(409, body));
        assertThat(run("publish", mFile.toString(), "--base", "7")).isEqualTo(ExitCode.CONFLICT);
        assertThat(mRequests).hasSize(1);
        assertThat(err()).contains("revision 8 won").contains("next: ");
    }

    @Test
    public void theBaseRevisionIsThatOfTheCommentElseTheNewest() throws IOException {
        Files.writeString(mFile, "# base_revision: 4\n" + VALID_SET);
        mResponses.add(response(200, "{\"revision\":5}"));
        mResponses.add(response(200, "{\"in_force_revision\":5}"));
        assertThat(run("publish", mFile.toString())).isEqualTo(ExitCode.OK);
        assertThat(mRequests.get(0).headers()).containsEntry("X-Base-Revision", "4");
        Files.writeString(mFile, VALID_SET);
        mRequests.clear();
        mResponses.add(response(200, "{\"revision\":9}"));
        mResponses.add(response(200, "{\"revision\":10}"));
        mResponses.add(response(200, "{\"in_force_revision\":10}"));
        assertThat(run("publish", mFile.toString())).isEqualTo(ExitCode.OK);
        assertThat(mRequests.get(1).headers()).containsEntry("X-Base-Revision", "9");
    }

    @Test
    public void aSetThatIsNotInForceInTimeIsSaidSo() {
        mResponses.add(response(200, "{\"revision\":8}"));
        assertThat(run("publish", mFile.toString(), "--base", "7", "--wait-seconds", "3"))
                .isEqualTo(ExitCode.NOT_IN_FORCE);
        assertThat(err()).contains("skylarkctl status");
        assertThat(mClock.nowMilliseconds()).isGreaterThanOrEqualTo(3_000);
    }

    @Test
    public void aControlThatNeverRespondsEndsTheCommandInTime() {
        assertThat(run("publish", mFile.toString(), "--base", "7", "--wait-seconds", "3"))
                .isEqualTo(ExitCode.UNREACHABLE);
        assertThat(err()).contains("--publish-id");
    }

    @Test
    public void aSetIsCheckedWithoutControl() throws IOException {
        mVariables.clear();
        assertThat(run("check", mFile.toString())).isEqualTo(ExitCode.OK);
        Files.writeString(mFile, VALID_SET + "customers:\n  a: {rate: large}\n");
        assertThat(run("check", mFile.toString(), "--json")).isEqualTo(ExitCode.INVALID);
        assertThat(out()).contains("\"valid\":false").contains(":4: customers.a.rate: ");
    }

    /** Guards against a set with replaced bytes. */
    @Test
    public void aSetThatIsNoTextIsRefusedWithThePlaceOfTheFirstBadByte() throws IOException {
        byte[] set = VALID_SET.getBytes(StandardCharsets.UTF_8);
        set[5] = (byte) 0xff;
        Files.write(mFile, set);
        for (String command : new String[] {"check", "publish"}) {
            assertThat(run(command, mFile.toString())).isEqualTo(ExitCode.INVALID);
            assertThat(err()).contains("0xff at offset 5");
        }
    }

    @Test
    public void aKeyIsShownOnceWithTheDigestForTheSet() {
        assertThat(run("key", "new", "--json")).isEqualTo(ExitCode.OK);
        String key = out().replaceAll("(?s).*\"key\":\"([^\"]+)\".*", "$1");
        assertThat(key).startsWith("sk-").hasSizeGreaterThan(40);
        assertThat(out()).contains(Sha256.hexOf(key));
    }

    @Test
    public void missingSettingsAreExplained() {
        mVariables.clear();
        assertThat(run("status")).isEqualTo(ExitCode.USAGE);
        assertThat(err()).contains("SKYLARK_CONTROL");
        mVariables.put("SKYLARK_CONTROL", "127.0.0.1:1");
        assertThat(run("status")).isEqualTo(ExitCode.USAGE);
        assertThat(err()).contains("SKYLARK_OPERATOR_CREDENTIAL");
        assertThat(run("nonsense")).isEqualTo(ExitCode.USAGE);
        assertThat(run("--help")).isEqualTo(ExitCode.OK);
        assertThat(out()).contains("examples:").contains("exit codes:");
    }

    @Test
    public void theCredentialIsNeverPrinted() {
        mResponses.add(
                response(401, "{\"error\":{\"kind\":\"operator_refused\",\"detail\":\"x\"}}"));
        assertThat(run("status")).isEqualTo(ExitCode.REFUSED);
        assertThat(out() + err() + new OperatorSettings(List.of("a:1"), "sk-secret"))
                .doesNotContain("sk-secret");
    }

    @Test
    public void theStatusShowsWhichRouterIsBehind() {
        mResponses.add(
                response(
                        200,
                        "{\"leader\":\"control-1\",\"revision\":4,\"in_force\":false,\"routers\":["
                                + "{\"vm\":\"entry-1\",\"data_centre\":\"a\",\"revision\":3,"
                                + "\"live\":true},{\"vm\":\"entry-2\",\"data_centre\":\"a\","
                                + "\"revision\":4,\"live\":true}]}"));
        assertThat(run("status")).isEqualTo(ExitCode.OK);
        assertThat(out().lines())
                .anyMatch(line -> line.startsWith("entry-1") && line.endsWith("behind"))
                .anyMatch(line -> line.startsWith("entry-2") && line.endsWith("serving"));
    }

    @Test
    public void usageIsWrittenAsTextCsvAndOnePageAndSaysWhatIsMissing() {
        String usage =
                """
                {"month":"2026-12","notes":["router <entry-1> was replaced"],
                 "customers":[{"customer":"mairie","currency":"XOF","grant":100,"spend":12.5,
                  "lines":[{"key":"k1","route":"desk","prompt_tokens":3,"cached_tokens":1,
                   "answer_tokens":2,"spend":12.5}],
                  "days":[{"day":"2026-12-03","spend":12.5}]}]}
                """;
        mResponses.add(response(200, usage));
        assertThat(run("usage", "--month", "2026-12", "--csv")).isEqualTo(ExitCode.OK);
        assertThat(mRequests.get(0).path()).isEqualTo("/v1/usage?month=2026-12");
        assertThat(out())
                .contains("2026-12,mairie,k1,desk,3,1,2,12.5,XOF\r\n")
                .contains("# router <entry-1> was replaced");
        mResponses.add(response(200, usage));
        assertThat(run("usage", "--html")).isEqualTo(ExitCode.OK);
        assertThat(out()).contains("<svg").contains("&lt;entry-1&gt;").doesNotContain("http");
        mResponses.add(response(200, usage));
        assertThat(run("usage")).isEqualTo(ExitCode.OK);
        assertThat(out()).contains("12.50").contains("note: router");
        assertThat(run("usage", "--month", "2026-13")).isEqualTo(ExitCode.USAGE);
    }

    @Test
    public void aForecastWithoutEnoughDaysSaysSo() {
        String forecast =
                """
                {"month":"2027-01","method":"mean","notes":[],
                 "customers":[{"customer":"mairie","problem":"fewer than 7 days"},
                  {"customer":"sacs","low":1,"expected":2,"high":3,"grant":4}]}
                """;
        for (String format : new String[] {"--json", "--csv", "--html"}) {
            mResponses.add(response(200, forecast));
            assertThat(run("usage", "forecast", format)).isEqualTo(ExitCode.OK);
            assertThat(out()).contains("fewer than 7 days");
        }
    }

    @Test
    public void theDifferenceNamesWhatPublishingWouldChange() {
        mResponses.add(
                response(
                        200,
                        "# base_revision: 3\nrates:\n"
                                + "  small: {tokens_per_second: 1, burst_tokens: 9}\n"
                                + "  old: {tokens_per_second: 1, burst_tokens: 1}\n"));
        assertThat(run("diff", mFile.toString())).isEqualTo(ExitCode.OK);
        assertThat(out().lines()).containsExactly("removed  rates.old", "changed  rates.small");
        mResponses.add(response(200, "# base_revision: 0\n"));
        assertThat(run("diff", mFile.toString(), "--json")).isEqualTo(ExitCode.OK);
        assertThat(out()).contains("\"kind\":\"added\"");
    }

    private ExitCode run(String... arguments) {
        mOut.reset();
        mErr.reset();
        return CtlMain.run(
                arguments,
                new CtlEnvironment(
                        InputStream.nullInputStream(),
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8),
                        mVariables,
                        settings -> this::send,
                        mClock,
                        mClock::advance));
    }

    private Result<ControlResponse> send(ControlRequest request) {
        mRequests.add(request);
        return mResponses.isEmpty() ? NO_RESPONSE : mResponses.remove(0);
    }

    private static Result<ControlResponse> response(int httpStatus, String body) {
        return Result.success(new ControlResponse(httpStatus, body));
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }
}
