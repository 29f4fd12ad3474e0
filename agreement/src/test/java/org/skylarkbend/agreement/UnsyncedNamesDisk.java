package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * A disk that has a name only from the next sync of its folder on. A loss of power keeps or loses
 * each file and folder that was created, renamed or removed since, on its own. The content of files
 * is kept.
 */
final class UnsyncedNamesDisk implements FileOperations {
    private final Path mRoot;
    private final Path mKept;
    private final Map<Path, Map<String, Named>> mSynced = new HashMap<>();
    private int mNumber;
    private int mOperationsBeforeEnd = Integer.MAX_VALUE;
    private Optional<Path> mFailingFolder = Optional.empty();

    /** A file or folder that had a name at the last sync, and another link to the file. */
    private record Named(Object key, Optional<Path> link) {}

    /** Takes an empty folder for the disk, and one for the files that have lost their names. */
    UnsyncedNamesDisk(Path root, Path kept) {
        mRoot = root;
        mKept = kept;
    }

    /** Makes everything fail after this number of operations. */
    void endAfter(int operations) {
        mOperationsBeforeEnd = operations;
    }

    /** Makes all syncs of this folder fail. */
    void failSyncOf(Path folder) {
        mFailingFolder = Optional.of(folder);
    }

    /** Makes all operations succeed again. */
    void recover() {
        mOperationsBeforeEnd = Integer.MAX_VALUE;
        mFailingFolder = Optional.empty();
    }

    /** Leaves what is left after a loss of power. Asks for each name whether it is kept. */
    void losePower(BooleanSupplier keeps) throws IOException {
        recover();
        losePower(mRoot, keeps);
        mSynced.clear();
        syncAll(mRoot);
    }

    @Override
    public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        countOperation();
        FileOperations.direct().write(channel, bytes);
    }

    @Override
    public void sync(FileChannel channel) throws IOException {
        countOperation();
    }

    @Override
    public void syncFolder(Path folder) throws IOException {
        countOperation();
        if (mFailingFolder.filter(folder::equals).isPresent()) {
            throw new IOException("Input/output error");
        }
        if (folder.startsWith(mRoot)) {
            mSynced.put(folder, namesIn(folder));
        }
    }

    @Override
    public void replace(Path newFile, Path file) throws IOException {
        countOperation();
        FileOperations.direct().replace(newFile, file);
    }

    private void countOperation() throws IOException {
        mOperationsBeforeEnd--;
        if (mOperationsBeforeEnd < 0) {
            throw new IOException("the process has ended");
        }
    }

    private void losePower(Path folder, BooleanSupplier keeps) throws IOException {
        Map<String, Named> synced = mSynced.getOrDefault(folder, Map.of());
        Map<String, Named> current = namesIn(folder);
        TreeSet<String> names = new TreeSet<>(synced.keySet());
        names.addAll(current.keySet());
        for (String name : names) {
            Path file = folder.resolve(name);
            boolean isSynced = sameFile(synced.get(name), current.get(name));
            if (!isSynced && !keeps.getAsBoolean()) {
                delete(file);
                if (synced.containsKey(name)) {
                    Files.createLink(file, synced.get(name).link().orElseThrow());
                }
            }
            if (Files.isDirectory(file)) {
                losePower(file, keeps);
            }
        }
    }

    private void syncAll(Path folder) throws IOException {
        mSynced.put(folder, namesIn(folder));
        for (Path file : filesIn(folder)) {
            if (Files.isDirectory(file)) {
                syncAll(file);
            }
        }
    }

    private Map<String, Named> namesIn(Path folder) throws IOException {
        Map<String, Named> names = new TreeMap<>();
        for (Path file : filesIn(folder)) {
            Optional<Path> link = Optional.empty();
            if (!Files.isDirectory(file)) {
                mNumber++;
                link = Optional.of(Files.createLink(mKept.resolve("file-" + mNumber), file));
            }
            names.put(
                    file.getFileName().toString(),
                    new Named(Files.getAttribute(file, "fileKey"), link));
        }
        return names;
    }

    private static boolean sameFile(Named one, Named other) {
        return one != null && other != null && one.key().equals(other.key());
    }

    private static void delete(Path file) throws IOException {
        if (Files.isDirectory(file)) {
            for (Path inside : filesIn(file)) {
                delete(inside);
            }
        }
        Files.deleteIfExists(file);
    }

    private static Path[] filesIn(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.toArray(Path[]::new);
        }
    }
}
