package org.skylarkbend.publishing;

import org.skylarkbend.base.ObjectName;

/** A rate limit in tokens per second with a burst, and the prices of tokens. */
public record Rate(
        ObjectName name,
        long tokensPerSecond,
        long burstTokens,
        String currency,
        double promptPricePerMillionTokens,
        double cachedPricePerMillionTokens,
        double answerPricePerMillionTokens) {}
