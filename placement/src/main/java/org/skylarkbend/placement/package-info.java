/** Selection of the endpoint for a request by cached prefix, load and queue length. */
package org.skylarkbend.placement;
