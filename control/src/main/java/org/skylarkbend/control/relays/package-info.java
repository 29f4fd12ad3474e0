/** Tells each gateway which others open connections to endpoints for it. */
package org.skylarkbend.control.relays;
