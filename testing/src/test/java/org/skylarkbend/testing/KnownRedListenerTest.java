package org.skylarkbend.testing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.ITestResult;
import org.testng.TestListenerAdapter;
import org.testng.TestNG;
import org.testng.annotations.Test;

/** Checks the results of a passing and a failing test with different lists of known failures. */
public class KnownRedListenerTest {
    private static final String PASSES = KnownRedSample.class.getName() + "#passes";
    private static final String FAILS = KnownRedSample.class.getName() + "#fails";
    private static final String OTHER_FIELDS = " | cmd | seen | 4";

    @Test
    public void testsThatAreNotListedKeepTheirResults() {
        TestListenerAdapter results = run();
        assertThat(names(results.getPassedTests())).containsExactly("passes");
        assertThat(names(results.getFailedTests())).containsExactly("fails");
    }

    @Test
    public void aListedTestMustFail() {
        TestListenerAdapter results = run(PASSES + OTHER_FIELDS, FAILS + OTHER_FIELDS);
        assertThat(names(results.getPassedTests())).containsExactly("fails");
        assertThat(names(results.getFailedTests())).containsExactly("passes");
    }

    @Test
    public void anIntermittentTestMayFailOrPass() {
        TestListenerAdapter results =
                run(
                        "intermittent " + PASSES + OTHER_FIELDS,
                        "intermittent " + FAILS + OTHER_FIELDS);
        assertThat(names(results.getPassedTests())).containsExactlyInAnyOrder("passes", "fails");
        assertThat(results.getFailedTests()).isEmpty();
    }

    private static TestListenerAdapter run(String... lines) {
        TestListenerAdapter results = new TestListenerAdapter();
        TestNG tests = new TestNG(false);
        tests.setVerbose(0);
        tests.setTestClasses(new Class<?>[] {KnownRedSample.class});
        tests.addListener(new KnownRedListener(KnownRedList.parse(List.of(lines))));
        tests.addListener(results);
        tests.run();
        return results;
    }

    private static List<String> names(List<ITestResult> results) {
        return results.stream().map(ITestResult::getName).toList();
    }
}
