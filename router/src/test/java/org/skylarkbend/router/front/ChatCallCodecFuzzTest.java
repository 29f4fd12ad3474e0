package org.skylarkbend.router.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.base.Result;
import org.skylarkbend.router.ChatCall;
import org.skylarkbend.router.forward.EngineEventCodec;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bodies of chat calls to their decoder and to the rewriting of accepted ones. */
public class ChatCallCodecFuzzTest implements FuzzTargets {
    private static final String CALL =
            """
            {"model":"m","stream":true,"max_tokens":6,"seed":1,"temperature":0,"n":1,
             "messages":[{"role":"user","content":"h\\u00e9"},{"role":"user","content":[{}]}]}
            """;

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget("chat-calls", bytes(CALL), ChatCallCodecFuzzTest::canBeForwarded));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static boolean canBeForwarded(byte[] input) {
        Result<ChatCall> call = ChatCallCodec.decode(input);
        if (call.isSuccess()) {
            byte[] rewritten = EngineEventCodec.toStreamingRequest(input);
            assertThat(ChatCallCodec.decode(rewritten).isSuccess()).isTrue();
        }
        return call.isSuccess();
    }

    private static List<byte[]> bytes(String text) {
        return List.of(text.getBytes(StandardCharsets.UTF_8));
    }
}
