package org.skylarkbend.publishing;

/** The result of applying a committed publish: the new state and the answer to the operator. */
public record PublishingTransition(PublishingState state, PublishAnswer answer) {}
