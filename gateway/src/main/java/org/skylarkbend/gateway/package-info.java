/**
 * The process that serves callers by host and path: it follows control, admits calls, chooses an
 * endpoint for each and passes the answer on.
 */
package org.skylarkbend.gateway;
