/** Discrete-event models of engines, routers and the network between them. */
package org.skylarkbend.replay.model;
