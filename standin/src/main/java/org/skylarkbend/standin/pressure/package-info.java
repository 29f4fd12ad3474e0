/** Load on the memory of a front: long bodies, slow readers and idle connections beside calls. */
package org.skylarkbend.standin.pressure;
