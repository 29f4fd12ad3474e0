/**
 * The catalog of a site with its routes, services and customers, the endpoints of the services, and
 * the messages by which control and the gateways exchange them.
 */
package org.skylarkbend.catalog;
