package org.skylarkbend.verification;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.skylarkbend.testing.KnownRedList;
import org.testng.annotations.Test;

/**
 * Checks the proofs and faults pages and the list of known failures against the reports of this
 * build.
 */
public class ProofTableTest {
    private static final Path ROOT = Path.of(System.getProperty(KnownRedList.ROOT_PROPERTY));
    private static final Path PAGE = ROOT.resolve("docs/PROOFS.md");
    private static final int PROMISE_COUNT = 13;
    private static final int FAULT_COUNT = 11;

    private static final Path FAULTS_PAGE = ROOT.resolve("docs/FAULTS.md");
    private static final String END_OF_FAULTS_TABLE = "## ";
    private static final int OPERATORS_FAULT_COUNT = 7;
    private static final int PLACE_COUNT = 15;

    @Test
    public void everyTestOnTheProofsPageRanAndPassed() throws IOException {
        assertThat(testsThatDidNotPass(table()))
                .as("tests named in docs/PROOFS.md that did not run")
                .isEmpty();
    }

    @Test
    public void everyTestOnTheFaultsPageRanAndPassed() throws IOException {
        assertThat(testsThatDidNotPass(faultsTable()))
                .as("tests named in docs/FAULTS.md that did not run")
                .isEmpty();
    }

    @Test
    public void everyPairOfFaultAndPlaceHasATestOrAReason() throws IOException {
        List<ProofTable.Row> rows = faultsTable().rows();
        assertThat(rows).allMatch(ProofTable.Row::isFilled);
        assertThat(rows.stream().collect(Collectors.groupingBy(ProofTable.Row::promise)).values())
                .hasSize(OPERATORS_FAULT_COUNT)
                .allMatch(ofFault -> faultsOf(ofFault) == PLACE_COUNT);
    }

    private static List<String> testsThatDidNotPass(ProofTable table) throws IOException {
        TestReports reports = TestReports.read(ROOT);
        return table.rows().stream()
                .flatMap(row -> row.tests().stream())
                .filter(test -> !reports.hasPassed(test))
                .distinct()
                .toList();
    }

    @Test
    public void everyPairOfPromiseAndFaultHasATestOrAReason() throws IOException {
        List<ProofTable.Row> rows = table().rows();
        assertThat(rows).allMatch(ProofTable.Row::isFilled);
        assertThat(rows.stream().collect(Collectors.groupingBy(ProofTable.Row::promise)).values())
                .hasSize(PROMISE_COUNT)
                .allMatch(ofPromise -> faultsOf(ofPromise) == FAULT_COUNT);
    }

    @Test
    public void everyKnownFailureNamesATestThatRan() throws IOException {
        assertThat(entriesWithoutTest(KnownRedList.load()))
                .as("entries of KNOWN-RED.txt without a test")
                .isEmpty();
    }

    @Test
    public void anEntryWithoutATestIsDetectedWithAndWithoutThePrefix() throws IOException {
        KnownRedList list =
                KnownRedList.parse(
                        List.of(
                                "FrameAssemblerTest#thereIsNoSuchTest | cmd | seen | 4",
                                "intermittent FrameAssemblerTest#norThisOne | cmd | seen | 4",
                                "FrameAssemblerTest#aFrameOverTheLimitIsRefused | cmd | seen | 4"));
        assertThat(entriesWithoutTest(list))
                .containsExactly(
                        "FrameAssemblerTest#norThisOne", "FrameAssemblerTest#thereIsNoSuchTest");
    }

    private static List<String> entriesWithoutTest(KnownRedList list) throws IOException {
        TestReports reports = TestReports.read(ROOT);
        return list.tests().stream().filter(test -> !reports.hasPassed(test)).toList();
    }

    @Test
    public void aTestThatDoesNotExistIsDetected() throws IOException {
        TestReports reports = TestReports.read(ROOT);
        assertThat(reports.hasPassed("FrameAssemblerTest#aFrameOverTheLimitIsRefused")).isTrue();
        assertThat(reports.hasPassed("FrameAssemblerTest#thereIsNoSuchTest")).isFalse();
    }

    @Test
    public void aRowWithoutTestOrReasonIsNotFilled() {
        ProofTable table =
                ProofTable.parse(
                        List.of(
                                "| promise | fault | proof |",
                                "|---|---|---|",
                                "| a | b | `ATest#c` |",
                                "| a | d | not proved: |"));
        assertThat(table.rows()).extracting(ProofTable.Row::isFilled).containsExactly(true, false);
    }

    private static long faultsOf(List<ProofTable.Row> rows) {
        return rows.stream().map(ProofTable.Row::fault).distinct().count();
    }

    private static ProofTable faultsTable() throws IOException {
        List<String> lines =
                Files.readAllLines(FAULTS_PAGE).stream()
                        .takeWhile(line -> !line.startsWith(END_OF_FAULTS_TABLE))
                        .toList();
        return ProofTable.parse(lines);
    }

    private static ProofTable table() throws IOException {
        return ProofTable.parse(Files.readAllLines(PAGE));
    }
}
