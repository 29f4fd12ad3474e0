/**
 * Control of a site that is described by one numbered catalog: the highest number is in force. It
 * shares the replicated log, the feed to routers and the limits with the rest of control.
 */
package org.skylarkbend.control.site;
