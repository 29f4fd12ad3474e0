package org.skylarkbend.standin.platform;

/** A VM in the list of the fake platform. */
public record ListedVm(String name, String host, int port, String dataCentre, ListedState state) {}
