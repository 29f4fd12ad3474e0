/**
 * A replicated log based on the Raft consensus algorithm: leader election with pre-vote, log
 * replication, snapshots, single-server membership changes, linearizable reads, and durable
 * storage.
 *
 * <p>The algorithm is described in D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
 */
package org.skylarkbend.agreement;
