/**
 * Distribution of rate limits by the leader, and the replicated registry of routers that may hold
 * tokens.
 */
package org.skylarkbend.control.limits;
