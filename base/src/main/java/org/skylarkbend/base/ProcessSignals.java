package org.skylarkbend.base;

import java.lang.reflect.Proxy;

/** Installs handlers of operating system signals. */
public final class ProcessSignals {
    private static final StructuredLog LOG = StructuredLog.of(ProcessSignals.class);
    private static final String HANG_UP = "HUP";

    private ProcessSignals() {}

    /**
     * Runs an action at each SIGHUP, which would otherwise terminate the process.
     *
     * <p>The JDK has no public API for signals. Its internal class is loaded by reflection; on a
     * JDK without it, a warning is logged and the default handling stays.
     */
    public static void onHangUp(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (ignored, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    action.run();
                                }
                                return null;
                            });
            Object hangUpSignal = signal.getConstructor(String.class).newInstance(HANG_UP);
            signal.getMethod("handle", signal, handler).invoke(null, hangUpSignal, proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOG.warn("signals.hang_up.unhandled", "detail", String.valueOf(e));
        }
    }
}
