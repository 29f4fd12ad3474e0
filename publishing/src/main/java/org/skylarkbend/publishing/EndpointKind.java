package org.skylarkbend.publishing;

/** The kind of endpoint that serves a route. */
public enum EndpointKind {
    /** A language model engine with a prefix cache. */
    ENGINE,
    /** A service that is not a language model engine. */
    SERVICE
}
