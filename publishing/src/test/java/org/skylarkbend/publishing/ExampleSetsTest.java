package org.skylarkbend.publishing;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.skylarkbend.base.Sha256;
import org.testng.annotations.Test;

/** Checks that the sets in {@code examples/} are valid. */
public class ExampleSetsTest {
    private static final Path EXAMPLES =
            Path.of(System.getProperty("skylarkbend.root", ".")).resolve("examples");

    @Test
    public void theSetOfRegieIsValid() {
        assertThat(read("regie.yaml").endpoints()).hasSize(8 + 3);
    }

    @Test
    public void theSetOfBeaudoinIsValid() {
        assertThat(read("beaudoin.yaml").endpoints()).hasSize(6 + 3);
    }

    private static PublishedSet read(String fileName) {
        PublishedSet set =
                SetReader.readFile(EXAMPLES.resolve(fileName))
                        .fold(
                                value -> value,
                                error -> {
                                    throw new AssertionError(error.detail());
                                });
        assertThat(set.customers()).hasSize(5);
        set.keys().values().forEach(ExampleSetsTest::checkSampleKey);
        return set;
    }

    private static void checkSampleKey(CallerKey key) {
        String sampleKey = "sample-" + key.customer() + "-0000000000";
        assertThat(key.digestSha256()).isEqualTo(Sha256.hexOf(sampleKey));
    }
}
