package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.wire.MessageWriter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests files whose checksums are right and whose content is not. */
public class MisfilledFilesTest {
    private static final ObjectName VM = ObjectName.of("a");

    private Path mFolder;

    @BeforeMethod
    public void createFolder() throws IOException {
        mFolder = Files.createTempDirectory("misfilled");
        open().fold(opened -> opened, error -> null).close();
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        try (var files = Files.newDirectoryStream(mFolder)) {
            for (Path file : files) {
                Files.delete(file);
            }
        }
        Files.delete(mFolder);
    }

    /** Guards against an exception, instead of a refusal, for an entry before the first index. */
    @Test
    public void aLogWithAnEntryBeforeTheFirstIsRefused() throws IOException {
        for (long index : new long[] {0, -1, Long.MIN_VALUE}) {
            byte[] entry = new MessageWriter(2).number(index).number(1).number(1).toBytes();
            byte[] record = LogRecord.frame(entry);
            byte[] log = new byte[Long.BYTES + record.length];
            System.arraycopy(record, 0, log, Long.BYTES, record.length);
            Files.write(mFolder.resolve("log"), log);
            assertRefused();
        }
    }

    /** Guards against a snapshot that is refused as a bad message instead of as a bad file. */
    @Test
    public void aSnapshotFileWithoutASnapshotIsRefusedAsDamaged() throws IOException {
        Files.write(mFolder.resolve("snapshot"), LogRecord.frame(new MessageWriter(9).toBytes()));
        assertRefused();
    }

    /** Guards against an identity that is refused as a bad message instead of as a bad file. */
    @Test
    public void anIdentityFileWithoutAnIdentityIsRefusedAsDamaged() throws IOException {
        Files.write(mFolder.resolve("identity"), LogRecord.frame(new MessageWriter(9).toBytes()));
        assertRefused();
    }

    private void assertRefused() {
        ErrorKind kind = open().fold(opened -> null, error -> error.kind());
        assertThat(kind).isEqualTo(ErrorKind.STORAGE_FAILED);
    }

    private Result<AgreementStorage> open() {
        return AgreementStorage.open(mFolder, VM, () -> 7, FileOperations.direct(), false);
    }
}
