package org.skylarkbend.testing;

import org.testng.annotations.Test;

/** One passing and one failing test; its name keeps it out of the build's own tests. */
public final class KnownRedSample {
    @Test
    public void passes() {}

    @Test
    public void fails() {
        throw new AssertionError("the listed fault");
    }
}
