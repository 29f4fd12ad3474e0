/**
 * Finds parts of prompts, and whole calls, that crash every engine that begins to answer them, and
 * excludes calls with such a part or content from service.
 *
 * <p>Gateways report which calls waited at an engine that crashed. The leader of the control VMs
 * compares the crashes of the whole site with the parts that were answered meanwhile. Its verdicts
 * go through the replicated log; the evidence does not, and a new leader is told it again.
 */
package org.skylarkbend.quarantine;
