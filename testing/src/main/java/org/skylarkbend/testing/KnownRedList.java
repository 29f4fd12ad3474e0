package org.skylarkbend.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The known test failures listed in {@code KNOWN-RED.txt}.
 *
 * <p>An entry is a line {@code class#method | command and seed | observed failure | issue}. The
 * prefix {@code intermittent} marks a test that does not fail in every run. Lines that start with
 * {@code #} are comments.
 */
public final class KnownRedList {
    /** The system property that holds the root folder of the checkout. */
    public static final String ROOT_PROPERTY = "skylarkbend.root";

    private static final String FILE_NAME = "KNOWN-RED.txt";
    private static final String INTERMITTENT_PREFIX = "intermittent ";

    private final Map<String, String> mLinesByTest;

    private KnownRedList(Map<String, String> linesByTest) {
        mLinesByTest = Map.copyOf(linesByTest);
    }

    /** Reads the list from the root folder of the checkout. */
    public static KnownRedList load() {
        Path root = Path.of(System.getProperty(ROOT_PROPERTY, "."));
        try {
            return parse(Files.readAllLines(root.resolve(FILE_NAME)));
        } catch (IOException e) {
            throw new UncheckedIOException(FILE_NAME + " could not be read", e);
        }
    }

    /** Parses the lines of a list. */
    public static KnownRedList parse(List<String> lines) {
        Map<String, String> linesByTest = new LinkedHashMap<>();
        for (String line : lines) {
            if (!line.isBlank() && !line.startsWith("#")) {
                linesByTest.put(testOf(line), line);
            }
        }
        return new KnownRedList(linesByTest);
    }

    /** Returns whether the list has an entry for the test, given as {@code class#method}. */
    public boolean contains(String test) {
        return mLinesByTest.containsKey(test);
    }

    /** Returns whether the test has an entry with the prefix {@code intermittent}. */
    public boolean isIntermittent(String test) {
        return contains(test) && line(test).startsWith(INTERMITTENT_PREFIX);
    }

    /** Returns the line of the entry of a test, or null if the test is not listed. */
    public String line(String test) {
        return mLinesByTest.get(test);
    }

    /** Returns all listed tests in alphabetical order. */
    public List<String> tests() {
        return mLinesByTest.keySet().stream().sorted().toList();
    }

    private static String testOf(String line) {
        String test = line.split("\\|", 2)[0].trim();
        return test.startsWith(INTERMITTENT_PREFIX)
                ? test.substring(INTERMITTENT_PREFIX.length()).trim()
                : test;
    }
}
