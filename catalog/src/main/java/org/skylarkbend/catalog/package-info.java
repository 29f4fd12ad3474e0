/**
 * What a site serves by: the numbered catalog of routes, services and customers, and the endpoints
 * behind the services, as the processes tell one another of them.
 */
package org.skylarkbend.catalog;
