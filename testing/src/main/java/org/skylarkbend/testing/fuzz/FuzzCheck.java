package org.skylarkbend.testing.fuzz;

/** Gives an input to a decoder and checks what the decoder does with it. */
@FunctionalInterface
public interface FuzzCheck {
    /**
     * Decodes an input.
     *
     * @return true if the decoder accepts the input, false if it refuses it as documented
     * @throws AssertionError if the decoder does anything else
     * @throws Exception if the decoder throws, which is a fault too
     */
    boolean accepts(byte[] input) throws Exception;
}
