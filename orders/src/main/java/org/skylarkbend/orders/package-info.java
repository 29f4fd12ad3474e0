/**
 * Orders to endpoints that set their loaded versions.
 *
 * <p>The commander is the leading control VM with the newest fencing number; only it sends orders.
 * Orders carry fencing numbers, so that those of a former commander are refused. If an endpoint
 * does not check the numbers, a new commander waits until such orders have expired.
 */
package org.skylarkbend.orders;
