package org.skylarkbend.router;

/** An HTTP header field. */
public record HttpHeader(String name, String value) {}
