/** The gateway's connection to control, by which it learns what it serves by. */
package org.skylarkbend.gateway.link;
