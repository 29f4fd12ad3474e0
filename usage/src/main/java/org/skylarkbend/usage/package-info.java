/** Token usage of customers: accounting, cost, monthly grants and forecasts. */
package org.skylarkbend.usage;
