package org.skylarkbend.placement;

import static org.assertj.core.api.Assertions.assertThat;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the block hashes of prompts. */
public class PrefixChainTest {
    private static final String BLOCK = "é".repeat(PrefixChain.BLOCK_CHARS);

    @Test
    public void aBlockIsHashedOverTheHashBeforeItAndItsText() {
        byte[] text = BLOCK.getBytes(StandardCharsets.UTF_8);
        long first = hash(0, text);
        long second = hash(first, text);
        PrefixChain chain = PrefixChain.ofText(BLOCK + BLOCK + "rest");
        assertThat(chain.blocks()).isEqualTo(BlockHashes.of(first, second));
        assertThat(chain.promptTokens()).isEqualTo(2 * PrefixChain.BLOCK_TOKENS + 1);
    }

    @Test
    public void promptsShareTheHashesOfTheirCommonBlocksOnly() {
        PromptMessage system = new PromptMessage("system", BLOCK);
        PrefixChain one = PrefixChain.ofMessages(List.of(system, user("a".repeat(16_000))));
        PrefixChain other = PrefixChain.ofMessages(List.of(system, user("b".repeat(16_000))));
        assertThat(one.blocks().first(1)).isEqualTo(other.blocks().first(1));
        assertThat(one.blocks().get(1)).isNotEqualTo(other.blocks().get(1));
        assertThat(one.blocks().get(2)).isNotEqualTo(other.blocks().get(2));
    }

    @Test
    public void hashesSurviveTheirHexadecimalForm() {
        BlockHashes hashes = BlockHashes.of(1, -1, Long.MIN_VALUE);
        assertThat(hashes.toHex())
                .containsExactly("0000000000000001", "ffffffffffffffff", "8000000000000000");
        assertThat(BlockHashes.ofHex(hashes.toHex())).isEqualTo(hashes);
    }

    private static PromptMessage user(String content) {
        return new PromptMessage("user", content);
    }

    private static long hash(long previous, byte[] text) {
        byte[] input =
                ByteBuffer.allocate(Long.BYTES + text.length).putLong(previous).put(text).array();
        return Hashing.xxh3_64().hashBytesToLong(input);
    }
}
