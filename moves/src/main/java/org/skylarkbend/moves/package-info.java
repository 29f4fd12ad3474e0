/**
 * Moves of route traffic from one version to another: when a move begins, the share of the new
 * version, the evaluation of the new version against the old one, and the rollback of a bad one.
 */
package org.skylarkbend.moves;
