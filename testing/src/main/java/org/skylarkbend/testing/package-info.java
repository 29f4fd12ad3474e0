/** Test helpers shared by all slices, such as a manual clock and the list of known failures. */
package org.skylarkbend.testing;
