/** Forwarding of calls to endpoints: queues, attempts and response streams. */
package org.skylarkbend.router.forward;
