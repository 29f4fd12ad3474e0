package org.skylarkbend.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Gathers the effects of one decision; messages go behind what must be synced before them. */
final class Outbox {
    private final List<AgreementEffect> mEffects = new ArrayList<>();
    private final List<OutgoingMessage> mMessages = new ArrayList<>();

    /** A message that goes out once the sender's term is on its disk. */
    record OutgoingMessage(MemberId to, AgreementMessage message) {}

    void add(AgreementEffect effect) {
        mEffects.add(effect);
    }

    void send(MemberId to, AgreementMessage message) {
        mMessages.add(new OutgoingMessage(to, message));
    }

    /** Empties the box. Without a number the messages are dropped. */
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
