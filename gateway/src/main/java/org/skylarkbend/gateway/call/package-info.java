/** Calls in progress: attempts at endpoints, retries, streams and the response to the caller. */
package org.skylarkbend.gateway.call;
