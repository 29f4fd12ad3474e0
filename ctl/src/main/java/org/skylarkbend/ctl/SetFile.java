package org.skylarkbend.ctl;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.Utf8;

/** Reads the set file of a command. */
final class SetFile {
    private SetFile() {}

    /**
     * Returns the text of the file; fails with {@code BAD_REQUEST} if the file cannot be read, and
     * with {@code SET_INVALID} if it is no text.
     */
    static Result<String> read(File file) {
        try {
            return Utf8.decode(Files.readAllBytes(file.toPath()), ErrorKind.SET_INVALID)
                    .fold(
                            Result::success,
                            error -> Result.failure(error.kind(), file + ": " + error.detail()));
        } catch (IOException e) {
            return Result.failure(ErrorKind.BAD_REQUEST, "cannot read " + file + ": " + e);
        }
    }

    /** Prints why the file could not be read, and returns the exit code. */
    static ExitCode fail(SkylarkError error, CtlEnvironment environment) {
        environment.err().println("skylarkctl: " + error.detail());
        return error.kind() == ErrorKind.SET_INVALID ? ExitCode.INVALID : ExitCode.USAGE;
    }
}
