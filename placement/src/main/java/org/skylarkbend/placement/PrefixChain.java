package org.skylarkbend.placement;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The chained hashes of the full blocks of a prompt; each hash covers the block and all blocks
 * before it.
 *
 * <p>The text of a prompt is, for each message, its role, a line feed, its content and a line feed.
 * It is split into blocks of {@link #BLOCK_CHARS} UTF-16 characters; a partial block at the end has
 * no hash. The hash of a block is XXH3-64 over the previous hash (eight bytes, big-endian; zero for
 * the first block) and the UTF-8 bytes of the block. Engines and routers compute the same chain, so
 * two equal hashes tell a router that all the text up to there is equal too.
 *
 * @param blocks the hashes, starting with the first block of the prompt
 * @param promptTokens the tokens of the whole prompt, including the partial block at the end
 */
public record PrefixChain(BlockHashes blocks, long promptTokens) {
    /** The number of tokens in one block. */
    public static final int BLOCK_TOKENS = 2_000;

    /** The number of characters that are counted as one token. */
    public static final int CHARS_PER_TOKEN = 4;

    /** The number of UTF-16 characters in one block. */
    public static final int BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN;

    private static final Hasher64 HASHER = Hashing.xxh3_64();

    /** Computes the chain of a prompt from its messages. */
    public static PrefixChain ofMessages(List<PromptMessage> messages) {
        StringBuilder text = new StringBuilder();
        for (PromptMessage message : messages) {
            text.append(message.role()).append('\n').append(message.content()).append('\n');
        }
        return ofText(text.toString());
    }

    /** Computes the chain of a prompt from its text. */
    public static PrefixChain ofText(String text) {
        long[] hashes = new long[text.length() / BLOCK_CHARS];
        long previous = 0;
        for (int i = 0; i < hashes.length; i++) {
            String block = text.substring(i * BLOCK_CHARS, (i + 1) * BLOCK_CHARS);
            previous = next(previous, block);
            hashes[i] = previous;
        }
        long promptTokens = (text.length() + CHARS_PER_TOKEN - 1L) / CHARS_PER_TOKEN;
        return new PrefixChain(BlockHashes.of(hashes), promptTokens);
    }

    /** Returns the number of tokens in the given number of blocks. */
    public static long tokensOf(int blocks) {
        return (long) blocks * BLOCK_TOKENS;
    }

    private static long next(long previous, String block) {
        byte[] bytes = block.getBytes(StandardCharsets.UTF_8);
        ByteBuffer input = ByteBuffer.allocate(Long.BYTES + bytes.length);
        input.putLong(previous).put(bytes);
        return HASHER.hashBytesToLong(input.array());
    }
}
