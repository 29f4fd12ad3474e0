package org.skylarkbend.wire;

import org.skylarkbend.base.Result;

/**
 * Encodes and decodes the messages of a slice. Deciders never depend on the encoding.
 *
 * @param <M> the sealed message type of the slice
 */
public interface MessageCodec<M> {
    /** Encodes a message, without its frame. */
    byte[] encode(M message);

    /** Decodes a message, or fails with {@code FRAME_INVALID} if the payload is malformed. */
    Result<M> decode(byte[] payload);
}
