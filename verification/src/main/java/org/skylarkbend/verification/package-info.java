/**
 * Checks, using the test reports of all modules, that every test named on the proofs page or in the
 * list of known failures exists and passed.
 */
package org.skylarkbend.verification;
