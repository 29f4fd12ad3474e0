/**
 * The ways from a gateway to the endpoints: its own connections, and connections through another
 * gateway if its own cannot be opened.
 */
package org.skylarkbend.gateway.relay;
