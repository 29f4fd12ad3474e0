/** HTTP server for callers: connections, admission and responses. */
package org.skylarkbend.gateway.front;
