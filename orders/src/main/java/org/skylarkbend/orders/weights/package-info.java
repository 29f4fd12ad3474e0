/**
 * Updates engines to the newest weights of their models, a few engines at a time. Each order
 * carries a fencing number and the number of orders that the engine has accepted before.
 */
package org.skylarkbend.orders.weights;
