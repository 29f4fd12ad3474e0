/** The connection to control, which supplies the catalog, the endpoints and the rate limits. */
package org.skylarkbend.gateway.link;
