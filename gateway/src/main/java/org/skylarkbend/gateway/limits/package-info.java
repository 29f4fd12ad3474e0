/** Rate limits: holds calls until their customer has tokens, as decided by the limits slice. */
package org.skylarkbend.gateway.limits;
