/** Sends each gateway the in-flight work of all other gateways at the endpoints. */
package org.skylarkbend.control.work;
