package org.skylarkbend.router.accounting;

import org.skylarkbend.usage.UsageMessage;

/** Effects to be executed by the accounting task. */
public sealed interface AccountingEffect {
    /** Send a report to control. Delivery is not guaranteed. */
    record Send(UsageMessage.Report report) implements AccountingEffect {}

    /** Publish the list of customers with an exhausted monthly grant. */
    record PublishGrants(UsageMessage.GrantsUsedUp grants) implements AccountingEffect {}

    /** The last report was acknowledged. */
    record Ended() implements AccountingEffect {}
}
