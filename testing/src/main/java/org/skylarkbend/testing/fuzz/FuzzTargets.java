package org.skylarkbend.testing.fuzz;

import java.util.List;

/** The decoders of a slice. Implemented by a test class, which the long run creates by its name. */
@FunctionalInterface
public interface FuzzTargets {
    /** Returns a target for each decoder. */
    List<FuzzTarget> targets();
}
