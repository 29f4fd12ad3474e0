package org.skylarkbend.verification;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilder;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/**
 * The tests that passed in this build, read from the Surefire reports.
 *
 * <p>Reports of test classes without a source file are ignored as leftovers of an earlier build.
 */
public final class TestReports {
    private static final String REPORT_FOLDER = "target/surefire-reports";
    private static final String TEST_SOURCES = "src/test/java";

    private final Set<String> mPassedTests;

    private TestReports(Set<String> passedTests) {
        mPassedTests = Set.copyOf(passedTests);
    }

    /** Reads the reports of all modules in the root folder of the checkout. */
    public static TestReports read(Path root) throws IOException {
        Set<String> passed = new HashSet<>();
        try (Stream<Path> folders = Files.list(root)) {
            for (Path module : folders.filter(Files::isDirectory).toList()) {
                readModule(module, passed);
            }
        }
        return new TestReports(passed);
    }

    /** Returns whether the test passed; the package may be omitted from {@code Class#method}. */
    public boolean hasPassed(String test) {
        return mPassedTests.stream().anyMatch(name -> matches(name, test));
    }

    private static boolean matches(String fullName, String test) {
        return fullName.equals(test) || fullName.endsWith("." + test);
    }

    private static void readModule(Path module, Set<String> passed) throws IOException {
        Path reports = module.resolve(REPORT_FOLDER);
        if (!Files.isDirectory(reports)) {
            return;
        }
        try (Stream<Path> files = Files.list(reports)) {
            List<Path> suiteFiles =
                    files.filter(file -> file.getFileName().toString().matches("TEST-.*\\.xml"))
                            .toList();
            for (Path suiteFile : suiteFiles) {
                readReport(module, suiteFile, passed);
            }
        }
    }

    private static void readReport(Path module, Path suiteFile, Set<String> passed)
            throws IOException {
        NodeList cases = parse(suiteFile);
        for (int i = 0; i < cases.getLength(); i++) {
            Element testCase = (Element) cases.item(i);
            String className = testCase.getAttribute("classname");
            if (isPassed(testCase) && hasSource(module, className)) {
                String method = testCase.getAttribute("name").replaceAll("(?s)[\\[(].*", "");
                passed.add(className + "#" + method);
            }
        }
    }

    private static boolean isPassed(Element testCase) {
        return testCase.getElementsByTagName("failure").getLength() == 0
                && testCase.getElementsByTagName("error").getLength() == 0
                && testCase.getElementsByTagName("skipped").getLength() == 0;
    }

    private static boolean hasSource(Path module, String className) {
        String file = className.replace('.', '/') + ".java";
        return Files.exists(module.resolve(TEST_SOURCES).resolve(file));
    }

    private static NodeList parse(Path suiteFile) throws IOException {
        try {
            DocumentBuilder builder = DocumentBuilderFactory.newInstance().newDocumentBuilder();
            return builder.parse(suiteFile.toFile()).getElementsByTagName("testcase");
        } catch (ParserConfigurationException | SAXException e) {
            throw new IOException(suiteFile + " is not a valid test report", e);
        }
    }
}
