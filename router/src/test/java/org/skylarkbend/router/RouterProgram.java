package org.skylarkbend.router;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.skylarkbend.testing.LoopbackPorts;
import org.skylarkbend.testing.TestFolders;

/** A router in a process of its own, which uses the control VM and endpoints of a fixture. */
final class RouterProgram implements AutoCloseable {
    private final Path mFolder = Files.createTempDirectory("router-");
    private final int mPort = LoopbackPorts.next();
    private final Process mProcess;

    RouterProgram(RouterFixture fixture, int heapMegabytes, String moreSettings)
            throws IOException {
        Path settings = mFolder.resolve("router.yaml");
        Files.writeString(settings, fixture.settingsOfAnotherRouter(mPort) + moreSettings);
        ProcessBuilder builder =
                new ProcessBuilder(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "@" + Path.of("..", "bin", "skylark-router.jvm"),
                                "-Xmx" + heapMegabytes + "m",
                                "-Dtinylog.writer.stream=out",
                                "-cp",
                                System.getProperty(
                                        "surefire.test.class.path",
                                        System.getProperty("java.class.path")),
                                "org.skylarkbend.router.RouterMain",
                                "--settings",
                                settings.toString()));
        builder.redirectErrorStream(true);
        builder.redirectOutput(mFolder.resolve("router.log").toFile());
        mProcess = builder.start();
    }

    int port() {
        return mPort;
    }

    long id() {
        return mProcess.pid();
    }

    boolean isRunning() {
        return mProcess.isAlive();
    }

    @Override
    public void close() throws IOException {
        mProcess.destroyForcibly().onExit().join();
        TestFolders.delete(mFolder);
    }
}
