/**
 * The router feed: serving leases, distribution of committed sets, tracking of the revision in
 * force, and routing of slice messages.
 */
package org.skylarkbend.control.feed;
