/** A fake of the platform's list of VMs and endpoints, with a configurable lag. */
package org.skylarkbend.standin.platform;
