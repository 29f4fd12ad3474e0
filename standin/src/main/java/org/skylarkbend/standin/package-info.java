/** Fakes of a model engine, a plain service and the VM list of the platform, and a load tool. */
package org.skylarkbend.standin;
