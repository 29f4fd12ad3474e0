/**
 * Types shared by all slices: clock, results, error kinds, object names, settings, structured logs
 * and metrics.
 *
 * <p>A slice is a part of the system with one duty and its own state, messages and tests.
 */
package org.skylarkbend.base;
