package org.skylarkbend.testing.fuzz;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.testng.annotations.Test;

/**
 * Plants faults in decoders, which the run of the build or, for that of targets(), the run by hand
 * finds.
 */
public class PlantedFaultTest implements FuzzTargets {
    private static final byte[] SAMPLE = {1, 2, 3, 4};

    /** For the run by hand: without guidance by coverage, no run finds this fault. */
    @Override
    public List<FuzzTarget> targets() {
        return List.of(FuzzTarget.ofDecoder("magic", List.of(SAMPLE), PlantedFaultTest::magic));
    }

    @Test
    public void anExceptionIsReportedWithItsSeedAndItsInput() {
        FuzzTarget target =
                FuzzTarget.ofDecoder("first-byte", List.of(SAMPLE), PlantedFaultTest::firstByte);
        assertThatThrownBy(() -> SeededFuzzing.run(target))
                .isInstanceOf(AssertionError.class)
                .hasMessageStartingWith("seed ")
                .hasMessageContaining("first-byte with input ")
                .hasMessageContaining("ArrayIndexOutOfBoundsException");
    }

    @Test
    public void aValueThatChangesWhenItIsEncodedAgainIsReported() {
        FuzzTarget target =
                FuzzTarget.ofCodec(
                        "narrowing",
                        List.of(100),
                        number -> new byte[] {number.byteValue()},
                        input -> Result.success(input.length * 100));
        assertThatThrownBy(() -> SeededFuzzing.run(target)).hasMessageContaining("becomes");
    }

    @Test
    public void aSampleThatLosesSomethingWhenItIsEncodedIsReported() {
        FuzzTarget target =
                FuzzTarget.ofCodec(
                        "truncating",
                        List.of(300),
                        number -> new byte[] {number.byteValue()},
                        input -> Result.success((int) input[0]));
        assertThatThrownBy(() -> SeededFuzzing.run(target)).hasMessageContaining("300 becomes");
    }

    @Test
    public void memoryForALengthThatIsNotThereIsReported() {
        byte[] honest = {0, 0, 0, 1, 7};
        FuzzTarget target =
                FuzzTarget.ofDecoder("length", List.of(honest), PlantedFaultTest::lengthFirst);
        assertThatThrownBy(() -> SeededFuzzing.run(target))
                .hasMessageContaining("bytes were allocated");
    }

    @Test
    public void aSampleThatIsRefusedIsReported() {
        FuzzTarget target = new FuzzTarget("refusing", List.of(SAMPLE), input -> false);
        assertThatThrownBy(() -> SeededFuzzing.run(target)).hasMessageContaining("sample 0");
    }

    private static Result<String> magic(byte[] input) {
        if (new String(input, StandardCharsets.UTF_8).equals("SKYL")) {
            throw new IllegalStateException("planted");
        }
        return Result.success("");
    }

    private static Result<String> firstByte(byte[] input) {
        return input[0] < 0
                ? Result.failure(ErrorKind.FRAME_INVALID, "negative")
                : Result.success("");
    }

    private static Result<byte[]> lengthFirst(byte[] input) {
        if (input.length < 5 || input[0] != 0) {
            return Result.failure(ErrorKind.FRAME_INVALID, "short");
        }
        int lengthBytes = (input[1] & 0xff) << 16 | (input[2] & 0xff) << 8 | input[3] & 0xff;
        return Result.success(new byte[lengthBytes]);
    }
}
