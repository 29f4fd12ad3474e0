package org.skylarkbend.base;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests lists of effects of which one cannot be carried out. */
public class EffectsTest {
    private final List<String> mDone = new ArrayList<>();
    private final List<String> mFailed = new ArrayList<>();

    /** Guards against effects that are dropped because of the one in front of them. */
    @Test
    public void anEffectThatFailsFailsAlone() {
        Effects.executeEach(
                List.of("a", "odd", "b"), this::execute, (effect, cause) -> mFailed.add(effect));
        assertThat(mDone).containsExactly("a", "b");
        assertThat(mFailed).containsExactly("odd");
    }

    @Test
    public void anErrorEndsTheList() {
        assertThatThrownBy(
                        () ->
                                Effects.executeEach(
                                        List.of("x"),
                                        effect -> {
                                            throw new OutOfMemoryError(effect);
                                        }))
                .isInstanceOf(OutOfMemoryError.class);
    }

    private void execute(String effect) {
        if (effect.equals("odd")) {
            throw new IllegalArgumentException(effect);
        }
        mDone.add(effect);
    }
}
