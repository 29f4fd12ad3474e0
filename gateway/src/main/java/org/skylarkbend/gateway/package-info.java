/**
 * The gateway process. It follows control, admits calls by host and path, selects an endpoint for
 * each call and forwards the response. A gateway serves a site that is described by one numbered
 * catalog; it does there what a router does elsewhere.
 */
package org.skylarkbend.gateway;
