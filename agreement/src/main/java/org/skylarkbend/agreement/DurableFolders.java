package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.StructuredLog;

/** Creates folders whose names are still there after a loss of power. */
final class DurableFolders {
    private static final StructuredLog LOG = StructuredLog.of(DurableFolders.class);

    private DurableFolders() {}

    /**
     * Creates a folder and those above it that are missing, and syncs their names.
     *
     * <p>The names of folders that exist are synced too, because an earlier process may have ended
     * between the creation and the sync. They may also belong to the system and not allow it, so
     * that a failure there is only logged.
     */
    static void create(Path path, FileOperations fileOperations) throws IOException {
        List<Path> missing = missingOf(path.toAbsolutePath());
        Files.createDirectories(path);
        Path real = path.toRealPath();
        int created = missing.size();
        try {
            for (Path above = real.getParent(); above != null; above = above.getParent()) {
                if (created > 0) {
                    fileOperations.syncFolder(above);
                } else {
                    trySync(above, fileOperations);
                }
                created--;
            }
        } catch (IOException e) {
            deleteAfter(e, missing);
            throw e;
        }
    }

    /** Returns the folders that do not exist, the innermost first. */
    private static List<Path> missingOf(Path path) {
        List<Path> missing = new ArrayList<>();
        for (Path next = path; next != null && Files.notExists(next); next = next.getParent()) {
            missing.add(next);
        }
        return missing;
    }

    private static void trySync(Path folder, FileOperations fileOperations) {
        try {
            fileOperations.syncFolder(folder);
        } catch (IOException e) {
            LOG.warn("agreement.folder.sync_failed", "folder", folder, "detail", String.valueOf(e));
        }
    }

    /** Removes new folders, so that the next start does not take them for synced. */
    private static void deleteAfter(IOException failure, List<Path> innermostFirst) {
        try {
            for (Path folder : innermostFirst) {
                Files.deleteIfExists(folder);
            }
        } catch (IOException e) {
            failure.addSuppressed(e);
        }
    }
}
