package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.skylarkbend.wire.MessageWriter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Puts malformed bytes into the files of a member, which must open the folder or refuse it. */
public class DataFolderFuzzTest implements FuzzTargets {
    private static final ObjectName VM = ObjectName.of("a");
    private static final MemberId A = new MemberId(VM, 5);
    private static final MemberId B = new MemberId(ObjectName.of("b"), 6);
    private static final Membership MEMBERS = new Membership(List.of(A, B));
    private static final byte[] IDENTITY = payload(4, A);
    private static final byte[] EMPTY_LOG = new byte[Long.BYTES];

    @Override
    public List<FuzzTarget> targets() {
        return Stream.of(
                        new FuzzTarget(
                                "log-file",
                                List.of(logOf(recordPayloads())),
                                input -> opens("log", input)),
                        new FuzzTarget(
                                "log-file-records",
                                List.of(recordPayloads()),
                                input -> opens("log", logOf(input))),
                        new FuzzTarget(
                                "snapshot-file",
                                List.of(snapshotPayload()),
                                input -> opens("snapshot", LogRecord.frame(input))),
                        new FuzzTarget(
                                "identity-file",
                                List.of(IDENTITY),
                                input -> opens("identity", LogRecord.frame(input))),
                        new FuzzTarget(
                                "synced-file",
                                List.of(LogRecord.frame(new byte[2 * Long.BYTES])),
                                input -> opens("log.synced", input)))
                .map(FuzzTarget::withFiles)
                .toList();
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    /** Opens a folder in which one file has this content. */
    private static boolean opens(String name, byte[] content) throws IOException {
        Path folder = Files.createTempDirectory("fuzzed");
        try {
            Files.write(folder.resolve("identity"), LogRecord.frame(IDENTITY));
            Files.write(folder.resolve("log"), EMPTY_LOG);
            Files.write(folder.resolve(name), content);
            Result<AgreementStorage> storage =
                    AgreementStorage.open(folder, VM, () -> 7, new UnsyncedFiles(), false);
            Optional<AgreementStorage> opened =
                    storage.fold(Optional::of, DataFolderFuzzTest::refused);
            if (opened.isPresent()) {
                opened.get().close();
            }
            return opened.isPresent();
        } finally {
            deleteAll(folder);
        }
    }

    private static Optional<AgreementStorage> refused(SkylarkError error) {
        assertThat(error.kind()).isEqualTo(ErrorKind.STORAGE_FAILED);
        return Optional.empty();
    }

    private static void deleteAll(Path folder) throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    /** Frames payloads, each with its length in one byte before it, as a log does. */
    private static byte[] logOf(byte[] payloads) {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        log.writeBytes(EMPTY_LOG);
        ByteBuffer rest = ByteBuffer.wrap(payloads);
        while (rest.hasRemaining()) {
            byte[] payload = new byte[Math.min(rest.get() & 0xff, rest.remaining())];
            rest.get(payload);
            log.writeBytes(LogRecord.frame(payload));
        }
        return log.toByteArray();
    }

    private static byte[] recordPayloads() {
        ByteArrayOutputStream payloads = new ByteArrayOutputStream();
        List<byte[]> records =
                List.of(
                        new MessageWriter(1).number(1).flag(false).toBytes(),
                        entry(new LogEntry(1, 1, new EntryContent.NoOperation())),
                        entry(new LogEntry(2, 1, new EntryContent.MembershipChange(MEMBERS))),
                        entry(new LogEntry(3, 1, new EntryContent.Command(new byte[] {7}))));
        for (byte[] payload : records) {
            payloads.write(payload.length);
            payloads.writeBytes(payload);
        }
        return payloads.toByteArray();
    }

    private static byte[] entry(LogEntry entry) {
        MessageWriter writer = new MessageWriter(2);
        EntryEncoding.write(writer, entry);
        return writer.toBytes();
    }

    private static byte[] snapshotPayload() {
        MessageWriter writer = new MessageWriter(3).number(8).number(2);
        EntryEncoding.write(writer, MEMBERS);
        return writer.bytes(new byte[] {1, 2}).toBytes();
    }

    private static byte[] payload(int type, MemberId member) {
        MessageWriter writer = new MessageWriter(type);
        EntryEncoding.write(writer, member);
        return writer.toBytes();
    }

    /** Files on the disk of the test, which need not survive the machine. */
    private static final class UnsyncedFiles implements FileOperations {
        @Override
        public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
            FileOperations.direct().write(channel, bytes);
        }

        @Override
        public void sync(FileChannel channel) {}
    }
}
