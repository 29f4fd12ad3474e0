package org.skylarkbend.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Collects the effects of one input. Messages come last, after the writes that they depend on. */
final class Outbox {
    private final List<AgreementEffect> mEffects = new ArrayList<>();
    private final List<OutgoingMessage> mMessages = new ArrayList<>();

    /** A message that is sent once the sender's hard state is on disk. */
    record OutgoingMessage(MemberId to, AgreementMessage message) {}

    void add(AgreementEffect effect) {
        mEffects.add(effect);
    }

    void send(MemberId to, AgreementMessage message) {
        mMessages.add(new OutgoingMessage(to, message));
    }

    /**
     * Returns and clears the collected effects.
     *
     * @param hardStateNumber the persist that the messages wait for; if empty, they are dropped
     */
    List<AgreementEffect> drain(OptionalLong hardStateNumber) {
        List<AgreementEffect> drained = new ArrayList<>(mEffects);
        hardStateNumber.ifPresent(number -> addMessages(number, drained));
        mEffects.clear();
        mMessages.clear();
        return drained;
    }

    private void addMessages(long hardStateNumber, List<AgreementEffect> drained) {
        for (OutgoingMessage outgoing : mMessages) {
            drained.add(
                    new AgreementEffect.Send(outgoing.to(), outgoing.message(), hardStateNumber));
        }
    }
}
