/** The known endpoints with their load and health, and the selection of one for each call. */
package org.skylarkbend.gateway.endpoints;
