/**
 * Types shared by all slices: clock, results, error kinds, object names, settings, structured logs
 * and metrics.
 */
package org.skylarkbend.base;
