package org.skylarkbend.replay.trace;

import java.io.BufferedReader;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the reader of traces. */
public class TraceReaderFuzzTest implements FuzzTargets {
    private static final String TRACE =
            TraceWriter.HEADER
                    + "\nrouters 2\nendpoint e v1\ncustomer c 10 20\nroute r 1 500\n"
                    + "fault 5 crash e 10\n"
                    + "request 7 c r 00000000000000ff 5000 20 -\n# end\n";

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget(
                        "traces",
                        List.of(TRACE.getBytes(StandardCharsets.UTF_8)),
                        input ->
                                TraceReader.read(
                                                "t",
                                                new BufferedReader(
                                                        new StringReader(
                                                                new String(
                                                                        input,
                                                                        StandardCharsets.UTF_8))))
                                        .isSuccess()));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }
}
