/**
 * Messages between control and routers: sets, serving leases, and messages of other slices that
 * share the connection.
 */
package org.skylarkbend.publishing.feed;
