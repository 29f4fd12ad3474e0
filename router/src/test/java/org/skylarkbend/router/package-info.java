/** Failure tests of the router against fakes in the same JVM. */
package org.skylarkbend.router;
