/**
 * The gateway process. It follows control, admits calls by host and path, selects an endpoint for
 * each call and forwards the response.
 */
package org.skylarkbend.gateway;
