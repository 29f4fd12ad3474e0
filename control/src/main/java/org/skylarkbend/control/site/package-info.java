/**
 * Control of a site that is described by one numbered catalog, of which the highest number is in
 * force. It uses the same replicated log, router feed and rate limits as the rest of the control
 * module.
 */
package org.skylarkbend.control.site;
