package org.skylarkbend.explain;

import java.util.List;
import java.util.Optional;

/**
 * What stood beside the lines of a call.
 *
 * @param before the last belief of each topic before the window
 * @param during beliefs in the window, in order of time
 * @param notes lines of libraries in the window
 * @param leftOut lines in the window for which there was no room
 * @param tallies endpoints of the call
 * @param processes all processes whose lines were read
 * @param newestCatalog line with the highest number of a catalog before the call arrived
 */
public record Surroundings(
        List<Belief> before,
        List<Belief> during,
        List<LibraryNote> notes,
        long leftOut,
        List<EndpointTally> tallies,
        List<ProcessCoverage> processes,
        Optional<Belief> newestCatalog) {}
