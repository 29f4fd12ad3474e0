package org.skylarkbend.testing;

import java.util.Arrays;
import java.util.SplittableRandom;

/** Mutates bytes at random to fuzz decoders: replaces, truncates, repeats and inserts bytes. */
public final class ByteMutations {
    private static final int MAX_MUTATIONS = 8;
    private static final int MAX_INSERTED_BYTES = 16;
    private static final int MUTATION_KINDS = 4;
    private static final int BYTE_VALUES = 256;

    private ByteMutations() {}

    /**
     * Returns a mutated copy, which depends only on the input and the state of the random source.
     */
    public static byte[] mutate(byte[] original, SplittableRandom random) {
        byte[] mutated = original.clone();
        int mutations = 1 + random.nextInt(MAX_MUTATIONS);
        for (int i = 0; i < mutations; i++) {
            mutated = mutateOnce(mutated, random);
        }
        return mutated;
    }

    private static byte[] mutateOnce(byte[] bytes, SplittableRandom random) {
        int position = bytes.length == 0 ? 0 : random.nextInt(bytes.length);
        return switch (random.nextInt(MUTATION_KINDS)) {
            case 0 -> replaceByte(bytes, position, random);
            case 1 -> Arrays.copyOf(bytes, position);
            case 2 -> insert(bytes, position, bytes.length == 0 ? bytes : tail(bytes, position));
            default -> insert(bytes, position, randomBytes(random));
        };
    }

    private static byte[] replaceByte(byte[] bytes, int position, SplittableRandom random) {
        if (bytes.length > 0) {
            bytes[position] = (byte) random.nextInt(BYTE_VALUES);
        }
        return bytes;
    }

    private static byte[] tail(byte[] bytes, int position) {
        int end = Math.min(bytes.length, position + MAX_INSERTED_BYTES);
        return Arrays.copyOfRange(bytes, position, end);
    }

    private static byte[] randomBytes(SplittableRandom random) {
        byte[] randomBytes = new byte[random.nextInt(MAX_INSERTED_BYTES)];
        random.nextBytes(randomBytes);
        return randomBytes;
    }

    private static byte[] insert(byte[] bytes, int position, byte[] inserted) {
        byte[] joined = new byte[bytes.length + inserted.length];
        System.arraycopy(bytes, 0, joined, 0, position);
        System.arraycopy(inserted, 0, joined, position, inserted.length);
        System.arraycopy(
                bytes, position, joined, position + inserted.length, bytes.length - position);
        return joined;
    }
}
