package org.skylarkbend.testing.fuzz;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A run of Jazzer on one target, in a process of its own because Jazzer ends its process.
 *
 * @param folder where the inputs, the output and what fails are stored
 * @param className the name of the class with the targets
 * @param target the target
 */
record JazzerRun(Path folder, String className, FuzzTarget target) {
    /** Larger inputs take longer and reach no further code in decoders of small messages. */
    private static final int MAX_INPUT_BYTES = 4_096;

    private static final int HANG_SECONDS = 10;

    /**
     * Runs until a fault is found or a limit is reached.
     *
     * @param limits options of Jazzer that limit the run
     * @return 0 if no fault was found
     */
    int start(List<String> limits) throws IOException, InterruptedException {
        Path inputs = folder.resolve("inputs");
        Files.createDirectories(inputs);
        for (int i = 0; i < target.samples().size(); i++) {
            Files.write(inputs.resolve("sample-" + i), target.samples().get(i));
        }
        List<String> command = new ArrayList<>(command());
        command.addAll(limits);
        command.add(inputs.toString());
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(outputFile().toFile())
                .start()
                .waitFor();
    }

    Path outputFile() {
        return folder.resolve("output");
    }

    List<String> output() throws IOException {
        return Files.readAllLines(outputFile());
    }

    /** The hooks of Jazzer stay out of Netty, whose buffers cannot be initialized with them. */
    private List<String> command() {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx1g",
                "-Dtinylog.writer=none",
                "-cp",
                System.getProperty("java.class.path"),
                "com.code_intelligence.jazzer.Jazzer",
                "--target_class=" + JazzerTarget.class.getName(),
                "--target_args=" + className + " " + target.name(),
                "--instrumentation_includes=org.skylarkbend.**:io.netty.handler.codec.**",
                "--custom_hook_excludes=io.netty.**:io.vertx.**",
                "--reproducer_path=" + folder,
                "-artifact_prefix=" + folder + File.separator,
                "-max_len=" + MAX_INPUT_BYTES,
                "-timeout=" + HANG_SECONDS);
    }
}
