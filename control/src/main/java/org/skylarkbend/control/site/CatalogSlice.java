package org.skylarkbend.control.site;

import java.util.function.Consumer;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** The catalog document as a slice of the replicated state. */
public final class CatalogSlice implements ReplicatedSlice {
    /** The name of the slice in entries and snapshots. */
    public static final String NAME = "catalog";

    private static final int DOCUMENT = 1;

    private final Consumer<NumberedDocument> mOnChange;
    private NumberedDocument mDocument = NumberedDocument.none();

    /**
     * Creates a slice without a document. The consumer gets each document that comes into force.
     */
    public CatalogSlice(Consumer<NumberedDocument> onChange) {
        mOnChange = onChange;
    }

    /** Encodes an entry that publishes a document. */
    public static byte[] encode(NumberedDocument document) {
        return new MessageWriter(DOCUMENT)
                .number(document.number())
                .bytes(document.bytes())
                .toBytes();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return decode(payload).map(this::accept);
    }

    @Override
    public byte[] snapshot() {
        return encode(mDocument);
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return decode(snapshot).map(this::replace);
    }

    private byte[] accept(NumberedDocument document) {
        NumberedDocument next = mDocument.after(document, NumberedDocument.HIGHEST_NUMBER);
        if (next != mDocument) {
            replace(next);
        }
        return new byte[0];
    }

    private Void replace(NumberedDocument document) {
        mDocument = document;
        mOnChange.accept(document);
        return null;
    }

    private static Result<NumberedDocument> decode(byte[] payload) {
        return MessageReader.decode(payload, CatalogSlice::read);
    }

    private static NumberedDocument read(MessageReader reader) {
        int type = reader.type();
        if (type != DOCUMENT) {
            return MessageReader.unknownType(type);
        }
        long number = reader.number();
        return new NumberedDocument(number, MessageReader.textOf(reader.bytes()));
    }
}
