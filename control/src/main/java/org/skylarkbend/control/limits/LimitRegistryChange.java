package org.skylarkbend.control.limits;

import org.skylarkbend.limits.RouterIdentity;

/** A change of the registry of routers that may hold rate limit tokens. */
public sealed interface LimitRegistryChange {
    /** The name of the slice in the log. */
    String SLICE = "limit_registry";

    /** Returns the router incarnation that is registered or removed. */
    RouterIdentity router();

    /** Registers a router incarnation, which may hold tokens from now on. */
    record Register(RouterIdentity router) implements LimitRegistryChange {}

    /** Removes a router incarnation that can no longer hold tokens. */
    record Unregister(RouterIdentity router) implements LimitRegistryChange {}
}
