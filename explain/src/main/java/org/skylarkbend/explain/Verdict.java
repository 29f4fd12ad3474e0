package org.skylarkbend.explain;

import java.util.List;

/**
 * What the lines show about the cause of an outcome.
 *
 * @param decided what decided the outcome
 * @param isCauseShown false if the lines show what happened but not why
 * @param inputs logged values that decided it
 * @param beside lines that may have to do with it and name neither the call nor its attempt
 * @param stale beliefs that were out of date
 * @param missing what the lines do not show
 */
public record Verdict(
        String decided,
        boolean isCauseShown,
        List<Evidence> inputs,
        List<Evidence> beside,
        List<StaleBelief> stale,
        List<String> missing) {}
