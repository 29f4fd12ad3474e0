package org.skylarkbend.placement;

/** One message of a prompt, with the role of its author and its text. */
public record PromptMessage(String role, String content) {}
