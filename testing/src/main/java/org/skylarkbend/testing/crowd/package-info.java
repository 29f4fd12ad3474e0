/** Crowds of callers that misuse legal requests, and the resources of the process they call. */
package org.skylarkbend.testing.crowd;
