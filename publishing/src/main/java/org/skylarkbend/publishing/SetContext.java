package org.skylarkbend.publishing;

/**
 * The context in which a set is validated for publishing.
 *
 * @param current the set in force; its unchanged moves were checked when they were published
 * @param nowEpochMilliseconds the time of the publish
 */
public record SetContext(PublishedSet current, long nowEpochMilliseconds) {}
