package org.skylarkbend.usage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.Customer;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.Rate;
import org.skylarkbend.usage.UsageMessage.GrantsUsedUp;

/** Determines the customers whose grant is used up, from counted usage and published sets. */
public final class GrantDecider {
    private final Map<ObjectName, UsageTokens> mTokens = new TreeMap<>();
    private PublishedSet mSet = PublishedSet.empty();
    private long mMonth;
    private GrantsUsedUp mLastNotified = new GrantsUsedUp(0, List.of());

    /**
     * Applies the total tokens of customers in a month.
     *
     * @return the customers whose grant is used up, if they changed
     */
    public Optional<GrantsUsedUp> applyUsage(long month, Map<ObjectName, UsageTokens> tokens) {
        if (month < mMonth) {
            return Optional.empty();
        }
        if (month > mMonth) {
            mMonth = month;
            mTokens.clear();
        }
        mTokens.putAll(tokens);
        return decide();
    }

    /**
     * Applies a published set.
     *
     * @return the customers whose grant is used up, if they changed
     */
    public Optional<GrantsUsedUp> applySet(PublishedSet set) {
        mSet = set;
        return decide();
    }

    private Optional<GrantsUsedUp> decide() {
        List<ObjectName> customers =
                mSet.customers().values().stream()
                        .filter(this::isUsedUp)
                        .map(Customer::name)
                        .toList();
        GrantsUsedUp now = new GrantsUsedUp(mMonth, customers);
        if (now.equals(mLastNotified)) {
            return Optional.empty();
        }
        mLastNotified = now;
        return Optional.of(now);
    }

    private boolean isUsedUp(Customer customer) {
        Rate rate = mSet.rates().get(customer.rate());
        UsageTokens tokens = mTokens.getOrDefault(customer.name(), UsageTokens.NONE);
        return rate != null && Spend.isUsedUp(tokens, customer, rate);
    }
}
