package org.skylarkbend.standin.platform;

/** A VM in the list of the platform. */
public record ListedVm(String name, String host, int port, String dataCentre, ListedState state) {}
