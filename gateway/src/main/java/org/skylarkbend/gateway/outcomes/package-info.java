/** Counts the outcomes of calls by version while a new version of a service is brought in. */
package org.skylarkbend.gateway.outcomes;
