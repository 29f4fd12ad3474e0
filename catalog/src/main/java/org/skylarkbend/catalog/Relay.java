package org.skylarkbend.catalog;

/**
 * Gateway that opens connections to endpoints for other gateways.
 *
 * @param host host that it listens on
 * @param port port that it listens on
 * @param dataCentre data centre that it runs in
 */
public record Relay(String host, int port, String dataCentre) {}
