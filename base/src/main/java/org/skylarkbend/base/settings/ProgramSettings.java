package org.skylarkbend.base.settings;

import java.io.File;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.function.Function;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;

/** Parses the command line of a program with one settings file: {@code --settings FILE}. */
public final class ProgramSettings {
    /** The exit code for an invalid command line or invalid settings. */
    public static final int EXIT_USAGE = 2;

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "the YAML settings")
    private File mSettingsFile;

    private ProgramSettings() {}

    /**
     * Reads the settings file given on the command line; fails if the command line is invalid.
     *
     * @param program the name of the program in the usage text
     * @param arguments the command line arguments
     * @param reader parses and validates the file
     */
    public static <S> Result<S> read(
            String program, String[] arguments, Function<Path, Result<S>> reader) {
        ProgramSettings settings = new ProgramSettings();
        CmdLineParser parser = new CmdLineParser(settings);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            return Result.failure(
                    ErrorKind.BAD_REQUEST, e.getMessage() + "\n" + usage(program, parser));
        }
        return reader.apply(settings.mSettingsFile.toPath());
    }

    private static String usage(String program, CmdLineParser parser) {
        StringWriter text = new StringWriter();
        text.write("usage: " + program + " --settings FILE\n");
        parser.printUsage(text, null);
        return text.toString();
    }
}
