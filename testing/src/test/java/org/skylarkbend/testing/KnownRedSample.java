package org.skylarkbend.testing;

import org.testng.annotations.Test;

/** A passing and a failing test; Surefire does not run it because of its class name. */
public final class KnownRedSample {
    @Test
    public void passes() {}

    @Test
    public void fails() {
        throw new AssertionError("the listed failure");
    }
}
