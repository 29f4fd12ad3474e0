package org.skylarkbend.standin.engine;

import java.util.List;

/** The versions and the order state that an engine reports to the control process. */
public record EngineView(
        long incarnation,
        List<String> versions,
        String activeVersion,
        long lastFencingNumber,
        boolean checksFencing) {
    /** Copies the list of versions. */
    public EngineView {
        versions = List.copyOf(versions);
    }
}
