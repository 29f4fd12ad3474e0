/** Monitoring of endpoints: load reports, health, cache events and the platform's list of VMs. */
package org.skylarkbend.router.watch;
