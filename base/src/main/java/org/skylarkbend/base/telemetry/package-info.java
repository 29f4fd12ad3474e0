/** Exports metrics in the Prometheus text format and spans as log lines. */
package org.skylarkbend.base.telemetry;
