package org.skylarkbend.standin.platform;

/** An endpoint in the list of the platform. */
public record ListedEndpoint(String name, ListedState state) {}
