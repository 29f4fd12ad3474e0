package org.skylarkbend.testing.crowd;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Resources of a process, as the kernel reports them.
 *
 * @param residentKilobytes resident memory
 * @param unreadKilobytes bytes that have arrived on connections to its port and are not read yet
 * @param descriptors number of open descriptors
 */
public record ProcessUsage(long residentKilobytes, long unreadKilobytes, long descriptors) {
    private static final int LOCAL_ADDRESS_FIELD = 1;
    private static final int QUEUES_FIELD = 4;
    private static final int HEXADECIMAL = 16;
    private static final long KILOBYTE = 1024;

    /**
     * Reads the resources of a process on this machine.
     *
     * @param processId ID of the process
     * @param port port on which it listens
     */
    public static ProcessUsage of(long processId, int port) throws IOException {
        Path process = Path.of("/proc", Long.toString(processId));
        try (Stream<Path> open = Files.list(process.resolve("fd"))) {
            return new ProcessUsage(
                    residentKilobytes(process), unreadBytes(port) / KILOBYTE, open.count());
        }
    }

    /** Returns the memory that counts for the limit of a machine. */
    public long memoryKilobytes() {
        return residentKilobytes + unreadKilobytes;
    }

    private static long residentKilobytes(Path process) throws IOException {
        return Files.readAllLines(process.resolve("status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    private static long unreadBytes(int port) throws IOException {
        long bytes = 0;
        String localPort = String.format(Locale.ROOT, ":%04X", port);
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            if (Files.exists(Path.of(table))) {
                bytes +=
                        Files.readAllLines(Path.of(table)).stream()
                                .map(line -> line.trim().split("\\s+"))
                                .filter(fields -> fields[LOCAL_ADDRESS_FIELD].endsWith(localPort))
                                .mapToLong(ProcessUsage::receiveQueueBytes)
                                .sum();
            }
        }
        return bytes;
    }

    /** Reads the field {@code tx_queue:rx_queue}; of a listening socket it has the backlog. */
    private static long receiveQueueBytes(String[] fields) {
        String queues = fields[QUEUES_FIELD];
        return Long.parseLong(queues.substring(queues.indexOf(':') + 1), HEXADECIMAL);
    }
}
