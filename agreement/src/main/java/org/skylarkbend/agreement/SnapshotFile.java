package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** The file that contains the newest snapshot. */
final class SnapshotFile {
    private static final String FILE_NAME = "snapshot";
    private static final int SNAPSHOT = 3;

    private final DataFolder mFolder;

    SnapshotFile(DataFolder folder) {
        mFolder = folder;
    }

    /** Reads the snapshot, if there is one. Fails with {@code STORAGE_FAILED} if it is damaged. */
    Result<Optional<Snapshot>> read() throws IOException {
        Path file = mFolder.file(FILE_NAME);
        if (!Files.exists(file)) {
            return Result.success(Optional.empty());
        }
        return LogRecord.onlyPayload(Files.readAllBytes(file))
                .map(payload -> MessageReader.decode(payload, SnapshotFile::read))
                .filter(Result::isSuccess)
                .map(snapshot -> snapshot.map(Optional::of))
                .orElseGet(() -> damaged(file));
    }

    private static Result<Optional<Snapshot>> damaged(Path file) {
        return Result.failure(
                ErrorKind.STORAGE_FAILED,
                file
                        + " is damaged. Replace the disk, or move the data folder away and"
                        + " start with an empty one. The VM then joins as a new member.");
    }

    /** Replaces the snapshot atomically and syncs it. */
    void write(Snapshot snapshot) throws IOException {
        MessageWriter writer =
                new MessageWriter(SNAPSHOT).number(snapshot.index()).number(snapshot.term());
        EntryEncoding.write(writer, snapshot.membership());
        writer.bytes(snapshot.data());
        byte[] payload = writer.toBytes();
        mFolder.replace(FILE_NAME, file -> LogRecord.write(payload, file));
    }

    private static Snapshot read(MessageReader reader) {
        if (reader.type() != SNAPSHOT) {
            throw new IllegalArgumentException("not a snapshot record");
        }
        return new Snapshot(
                reader.number(),
                reader.number(),
                EntryEncoding.readMembership(reader),
                reader.bytes());
    }
}
