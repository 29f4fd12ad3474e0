package org.skylarkbend.base;

import java.lang.reflect.Proxy;

/** What a process does when it gets a signal other than those that end it. */
public final class ProcessSignals {
    private static final StructuredLog LOG = StructuredLog.of(ProcessSignals.class);
    private static final String HANG_UP = "HUP";

    private ProcessSignals() {}

    /**
     * Runs an action at each hang-up signal, which would otherwise end the process.
     *
     * <p>The JDK has no public interface for this; the class that it offers is found by its name,
     * and a JDK without it leaves the signal as it is.
     */
    public static void onHangUp(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    action.run();
                                }
                                return null;
                            });
            Object hangUp = signal.getConstructor(String.class).newInstance(HANG_UP);
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOG.warn("signals.hang_up.unhandled", "detail", String.valueOf(e));
        }
    }
}
