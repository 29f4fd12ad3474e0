package org.skylarkbend.agreement;

import java.util.Optional;

/**
 * A message with its sender and receiver.
 *
 * @param from the sender
 * @param to the only member that may process the message; empty for any member on the receiving VM
 * @param message the message
 */
public record Envelope(MemberId from, Optional<MemberId> to, AgreementMessage message) {}
