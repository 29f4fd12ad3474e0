/** HTTP server for callers: request limits, admission and responses. */
package org.skylarkbend.router.front;
