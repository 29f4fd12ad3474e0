/** Tells each gateway what all others have under way at the endpoints. */
package org.skylarkbend.control.work;
