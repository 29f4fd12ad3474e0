/**
 * Membership of endpoints and VMs: live, suspect, leaving and dead ones, and their incarnations.
 *
 * <p>The platform's list is delayed and therefore only one kind of evidence: an endpoint's own load
 * reports and the outcomes of attempts count as well.
 */
package org.skylarkbend.membership;
