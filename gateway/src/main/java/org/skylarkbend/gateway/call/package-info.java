/** One call from its admission to its answer: attempts at endpoints, streams, and what is said. */
package org.skylarkbend.gateway.call;
