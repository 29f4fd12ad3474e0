/** Decisions on a pool of engines that many routers share without asking one another. */
package org.skylarkbend.placement.pool;
