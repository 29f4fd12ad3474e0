/**
 * Takes in callers' requests: their connections, the memory that requests take while they arrive,
 * and their bodies.
 */
package org.skylarkbend.intake;
