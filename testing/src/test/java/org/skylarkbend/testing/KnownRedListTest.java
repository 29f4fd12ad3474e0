package org.skylarkbend.testing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.Test;

/** Checks the parsing of the list of known failures. */
public class KnownRedListTest {
    @Test
    public void commentsAndBlankLinesAreNoEntries() {
        KnownRedList list = KnownRedList.parse(List.of("# a", "", "a.B#c | cmd | seen | 4"));
        assertThat(list.tests()).containsExactly("a.B#c");
        assertThat(list.contains("a.B#d")).isFalse();
    }

    @Test
    public void anEntryIsIntermittentOnlyIfItIsMarked() {
        KnownRedList list =
                KnownRedList.parse(
                        List.of(
                                "a.B#c | cmd | an intermittent failure | 4",
                                "intermittent a.B#d | cmd | seen | 4"));
        assertThat(list.tests()).containsExactly("a.B#c", "a.B#d");
        assertThat(list.isIntermittent("a.B#c")).isFalse();
        assertThat(list.isIntermittent("a.B#d")).isTrue();
        assertThat(list.isIntermittent("a.B#e")).isFalse();
        assertThat(list.line("a.B#d")).isEqualTo("intermittent a.B#d | cmd | seen | 4");
    }
}
