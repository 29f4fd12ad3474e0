/** Which endpoints a gateway knows, what it knows of their load, and which one serves a call. */
package org.skylarkbend.gateway.endpoints;
