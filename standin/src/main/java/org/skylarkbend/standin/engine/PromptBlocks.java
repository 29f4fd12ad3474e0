package org.skylarkbend.standin.engine;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The part of a prompt that the prefix cache uses: the chained hashes of its complete blocks, and
 * its length.
 *
 * <p>The text of a prompt is, for each message, the role, a line break, the content and a line
 * break. It is split into blocks of {@link #BLOCK_CHARS} UTF-16 characters; an incomplete last
 * block has no hash. The hash of a block is XXH3 (64 bits) over the hash of the previous block (8
 * bytes, big-endian; 0 for the first block) and the UTF-8 encoding of the block.
 *
 * @param hashes one hash per complete block
 * @param promptTokens the length of the whole prompt in tokens
 */
public record PromptBlocks(List<Long> hashes, int promptTokens) {
    /** The length of a block in UTF-16 characters. */
    public static final int BLOCK_CHARS = 8_000;

    /** The length of a block in tokens. */
    public static final int BLOCK_TOKENS = 2_000;

    private static final int CHARS_PER_TOKEN = 4;
    private static final Hasher64 HASHER = Hashing.xxh3_64();

    /** Copies the list of hashes. */
    public PromptBlocks {
        hashes = List.copyOf(hashes);
    }

    /** Splits the text of a prompt into blocks. */
    public static PromptBlocks of(String text) {
        List<Long> hashes = new ArrayList<>();
        long hash = 0;
        for (int end = BLOCK_CHARS; end <= text.length(); end += BLOCK_CHARS) {
            hash = chainHash(hash, text.substring(end - BLOCK_CHARS, end));
            hashes.add(hash);
        }
        int promptTokens = (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
        return new PromptBlocks(hashes, promptTokens);
    }

    private static long chainHash(long previousHash, String block) {
        byte[] utf8 = block.getBytes(StandardCharsets.UTF_8);
        byte[] input =
                ByteBuffer.allocate(Long.BYTES + utf8.length)
                        .putLong(previousHash)
                        .put(utf8)
                        .array();
        return HASHER.hashBytesToLong(input);
    }
}
