package org.skylarkbend.testing.fuzz;

/** Entry point for Jazzer, which finds the two methods by their names. */
public final class JazzerTarget {
    private static FuzzTarget sTarget;

    private JazzerTarget() {}

    /** Creates the target: the name of the class with the targets, and the name of the target. */
    public static void fuzzerInitialize(String[] arguments) throws ReflectiveOperationException {
        sTarget = find(arguments[0], arguments[1]);
    }

    /** Decodes an input; an exception is a fault. */
    public static void fuzzerTestOneInput(byte[] input) {
        SeededFuzzing.accepts(sTarget, input);
    }

    private static FuzzTarget find(String className, String name)
            throws ReflectiveOperationException {
        return FuzzCommand.targetsOf(className).stream()
                .filter(target -> target.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no target " + name));
    }
}
