package org.skylarkbend.replay.report;

import org.skylarkbend.base.ObjectName;

/** Number of requests, p95 time to first token and refused share of a customer. */
public record CustomerResult(
        ObjectName customer, long requests, long p95Milliseconds, double refusedShare) {}
