/** Holds calls until their customer has tokens for them, by the shares of the limits slice. */
package org.skylarkbend.gateway.limits;
