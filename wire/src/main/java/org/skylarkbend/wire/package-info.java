/**
 * MessagePack frames over TCP between the system's own processes, with heartbeats to detect dead
 * connections.
 */
package org.skylarkbend.wire;
