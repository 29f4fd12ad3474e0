package org.skylarkbend.agreement;

/** The address at which a member listens for the other members. */
public record MemberAddress(String host, int port) {}
