/** The connections of callers: who is admitted where, and how answers reach them. */
package org.skylarkbend.gateway.front;
