package org.skylarkbend.router.accounting;

import org.skylarkbend.usage.UsageLine;
import org.skylarkbend.usage.UsageMessage;

/** Messages to the accounting task. */
public sealed interface AccountingMessage {
    /** A call has ended with this token usage. */
    record Settled(UsageLine line) implements AccountingMessage {}

    /** A message from control was received. */
    record ControlMessageReceived(UsageMessage message) implements AccountingMessage {}

    /** Periodic tick to check for due reports. */
    record TimePassed() implements AccountingMessage {}

    /** The router is shutting down and settles no further usage. */
    record ShuttingDown() implements AccountingMessage {}
}
