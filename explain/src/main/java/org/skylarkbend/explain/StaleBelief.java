package org.skylarkbend.explain;

/**
 * Something that a process of the call believed although another line shows that it had changed.
 *
 * @param process process of the call
 * @param believed what it believed
 * @param shownBy line that shows the change
 */
public record StaleBelief(String process, String believed, Belief shownBy) {}
