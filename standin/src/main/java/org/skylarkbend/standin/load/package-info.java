/** Measures the latency of direct and routed requests in the same run. */
package org.skylarkbend.standin.load;
