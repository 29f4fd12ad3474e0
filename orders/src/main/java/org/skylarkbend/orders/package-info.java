/**
 * Orders to endpoints that set their loaded versions. Orders carry fencing numbers, so that those
 * of a former commander are refused. If an endpoint does not check the numbers, a new commander
 * waits until such orders have expired.
 */
package org.skylarkbend.orders;
