package org.skylarkbend.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import org.skylarkbend.base.ByteBudget;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the memory that the responses of all calls take together. */
public class ResponseBufferTest {
    private static final int MEMORY_BYTES = 1_000;

    private ByteBudget mMemory;

    @BeforeMethod
    public void createMemory() {
        mMemory = new ByteBudget("responses", MEMORY_BYTES, new MetricRegistry());
    }

    /** Guards against responses that are small enough each and exhaust the memory together. */
    @Test
    public void theResponsesOfAllCallsTakeNoMoreThanTheMemory() {
        ResponseBuffer[] buffers = new ResponseBuffer[10];
        int accepted = 0;
        for (int i = 0; i < buffers.length; i++) {
            buffers[i] = new ResponseBuffer(MEMORY_BYTES, mMemory);
            accepted += buffers[i].appendChunk(new byte[200]) ? 1 : 0;
        }
        assertThat(accepted).isEqualTo(5);
        for (ResponseBuffer buffer : buffers) {
            buffer.release();
        }
        assertThat(mMemory.usedBytes()).isZero();
    }

    @Test
    public void oneResponseTakesNoMoreThanAQuarterOfTheMemory() {
        ResponseBuffer buffer = new ResponseBuffer(MEMORY_BYTES, mMemory);
        assertThat(buffer.appendChunk(new byte[250])).isTrue();
        assertThat(buffer.appendChunk(new byte[1])).isFalse();
        buffer.startAttempt();
        assertThat(buffer.appendChunk(new byte[250])).isTrue();
    }
}
