package org.skylarkbend.publishing;

/** The result of applying a committed publish: the new state and the result for the operator. */
public record PublishingTransition(PublishingState state, PublishResult result) {}
