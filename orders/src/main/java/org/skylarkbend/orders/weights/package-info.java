/**
 * Brings engines to the newest weights of their models, a few at a time, by fenced orders that say
 * how many orders the engine has accepted before.
 */
package org.skylarkbend.orders.weights;
