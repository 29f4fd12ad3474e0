package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests which peers count as silent. */
public class PeerProgressTest {
    private static final long SILENCE_MILLISECONDS = 2_000;
    private static final long ALMOST_MILLISECONDS = SILENCE_MILLISECONDS * 9 / 10;

    @Test
    public void framesShortlyBeforeEachSilenceEndsKeepThePeer() {
        PeerProgress progress = new PeerProgress(SILENCE_MILLISECONDS, 0);
        long nowMilliseconds = 0;
        for (int i = 0; i < 1_000; i++) {
            nowMilliseconds += ALMOST_MILLISECONDS;
            assertThat(progress.isSilent(nowMilliseconds)).isFalse();
            progress.received(4, true, nowMilliseconds);
        }
    }

    /** Guards against a limit that closes the connections of slow but sound peers. */
    @Test
    public void aLargeFrameThatTakesLongerThanTheSilenceKeepsThePeer() {
        PeerProgress progress = new PeerProgress(SILENCE_MILLISECONDS, 0);
        long nowMilliseconds = 0;
        for (int i = 0; i < 1_000; i++) {
            nowMilliseconds += ALMOST_MILLISECONDS;
            assertThat(progress.isSilent(nowMilliseconds)).isFalse();
            progress.received(PeerProgress.MIN_PART_BYTES, false, nowMilliseconds);
        }
    }

    /** Guards against a peer that keeps a connection alive with parts of a frame. */
    @Test
    public void bytesThatCompleteNoFrameDoNotKeepThePeer() {
        PeerProgress progress = new PeerProgress(SILENCE_MILLISECONDS, 0);
        for (long now = 1; now <= SILENCE_MILLISECONDS; now++) {
            assertThat(progress.isSilent(now)).isFalse();
            progress.received(1, false, now);
        }
        assertThat(progress.isSilent(SILENCE_MILLISECONDS + 1)).isTrue();
    }
}
