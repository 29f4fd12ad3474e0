package org.skylarkbend.base;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Carries out the effects of a decision, each of them even if the ones before it fail. */
public final class Effects {
    private static final StructuredLog LOG = StructuredLog.of(Effects.class);

    private Effects() {}

    /** Carries out the effects in their order. One that throws is logged, and the others follow. */
    public static <E> void executeEach(List<? extends E> effects, Consumer<E> execute) {
        executeEach(effects, execute, (effect, cause) -> {});
    }

    /**
     * Carries out the effects in their order. One that throws is logged, and the others follow. An
     * {@link Error} is thrown at once.
     *
     * @param effects the effects; the state of the decision assumes that all of them happen
     * @param execute carries out one effect
     * @param onFailure receives an effect that was not carried out, with the exception, and reports
     *     it to the decision
     */
    public static <E> void executeEach(
            List<? extends E> effects,
            Consumer<E> execute,
            BiConsumer<E, RuntimeException> onFailure) {
        for (E effect : List.copyOf(effects)) {
            try {
                execute.accept(effect);
            } catch (RuntimeException e) {
                LOG.error(e, "effect.failed", "effect", effect, "cause", e);
                onFailure.accept(effect, e);
            }
        }
    }
}
