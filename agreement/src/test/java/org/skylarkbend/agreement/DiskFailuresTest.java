package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.agreement.DiskFailures.Kind;
import org.testng.annotations.Test;

/** Tests for {@link DiskFailures}. */
public class DiskFailuresTest {
    /** Guards against two log lines a second while only snapshots cannot be saved. */
    @Test
    public void entriesThatAreWrittenBetweenFailedSnapshotsAreNoRecovery() {
        DiskFailures failures = new DiskFailures();
        assertThat(failures.failed(Kind.SNAPSHOT, 1_000)).isTrue();
        for (long now = 1_500; now < 10_000; now += 1_000) {
            assertThat(failures.succeeded(Kind.ENTRIES, now)).isEmpty();
            assertThat(failures.failed(Kind.SNAPSHOT, now + 500)).isFalse();
        }
        assertThat(failures.succeeded(Kind.SNAPSHOT, 11_000)).hasValue(10_000);
        assertThat(failures.succeeded(Kind.SNAPSHOT, 12_000)).isEmpty();
        assertThat(failures.failed(Kind.SNAPSHOT, 13_000)).isTrue();
    }

    @Test
    public void aSnapshotProvesThatEntriesCanBeWrittenToo() {
        DiskFailures failures = new DiskFailures();
        assertThat(failures.failed(Kind.ENTRIES, 1_000)).isTrue();
        assertThat(failures.failed(Kind.SNAPSHOT, 2_000)).isFalse();
        assertThat(failures.succeeded(Kind.SNAPSHOT, 4_000)).hasValue(3_000);
    }
}
