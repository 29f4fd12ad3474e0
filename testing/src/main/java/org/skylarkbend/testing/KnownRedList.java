package org.skylarkbend.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The tests listed in {@code KNOWN-RED.txt}.
 *
 * <p>An entry is a line {@code class#method | command and seed | what was seen | issue}. The word
 * {@code intermittent} before the class marks a test that fails now and then. Lines that begin with
 * {@code #} are comments.
 */
public final class KnownRedList {
    /** The system property that holds the root folder of the checkout. */
    public static final String ROOT_PROPERTY = "skylarkbend.root";

    private static final String FILE_NAME = "KNOWN-RED.txt";
    private static final String INTERMITTENT_MARK = "intermittent ";

    private final Map<String, String> mLinesByTest;

    private KnownRedList(Map<String, String> linesByTest) {
        mLinesByTest = Map.copyOf(linesByTest);
    }

    /** Reads the list of this checkout. */
    public static KnownRedList load() {
        Path root = Path.of(System.getProperty(ROOT_PROPERTY, "."));
        try {
            return parse(Files.readAllLines(root.resolve(FILE_NAME)));
        } catch (IOException e) {
            throw new UncheckedIOException(FILE_NAME + " cannot be read", e);
        }
    }

    /** Reads a list from its lines. */
    public static KnownRedList parse(List<String> lines) {
        Map<String, String> linesByTest = new LinkedHashMap<>();
        for (String line : lines) {
            if (!line.isBlank() && !line.startsWith("#")) {
                linesByTest.put(testOf(line), line);
            }
        }
        return new KnownRedList(linesByTest);
    }

    /** Whether the list names this test, as {@code class#method}. */
    public boolean contains(String test) {
        return mLinesByTest.containsKey(test);
    }

    /** Whether the entry of this test is marked as a failure that shows only now and then. */
    public boolean isIntermittent(String test) {
        return contains(test) && line(test).startsWith(INTERMITTENT_MARK);
    }

    /** The whole line of an entry. */
    public String line(String test) {
        return mLinesByTest.get(test);
    }

    /** All tests of the list. */
    public List<String> tests() {
        return mLinesByTest.keySet().stream().sorted().toList();
    }

    private static String testOf(String line) {
        String test = line.split("\\|", 2)[0].trim();
        return test.startsWith(INTERMITTENT_MARK)
                ? test.substring(INTERMITTENT_MARK.length()).trim()
                : test;
    }
}
