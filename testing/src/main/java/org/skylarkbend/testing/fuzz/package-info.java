/** Fuzzing of decoders: targets, the seeded run of the build and the long run with Jazzer. */
package org.skylarkbend.testing.fuzz;
