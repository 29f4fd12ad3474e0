package org.skylarkbend.publishing;

/** Provides a small valid set and helpers to parse variants of it. */
final class SampleSets {
    /** A set with two routes on one pool of four engines and three versions. */
    static final String VALID =
            """
            rates:
              small: {tokens_per_second: 100, burst_tokens: 1000}
            customers:
              mairie: {rate: small}
            versions:
              v1: {model: m, load_milliseconds: 500}
              v2: {model: m, load_milliseconds: 1000}
              v3: {model: m, load_milliseconds: 1000}
            endpoints:
              e1: {host: 127.0.0.1, port: 1, data_centre: a, pool: p, kind: engine, version: v1}
              e2: {host: 127.0.0.1, port: 2, data_centre: a, pool: p, kind: engine, version: v1}
              e3: {host: 127.0.0.1, port: 3, data_centre: b, pool: p, kind: engine, version: v1}
              e4: {host: 127.0.0.1, port: 4, data_centre: b, pool: p, kind: engine, version: v1}
            routes:
              desk: {kind: engine, pool: p, version: v1, deadline_milliseconds: 1000}
              specs: {kind: engine, pool: p, version: v2, deadline_milliseconds: 1000}
            """;

    private SampleSets() {}

    static PublishedSet read(String yaml) {
        return SetReader.readText("set", yaml).fold(set -> set, SampleSets::fail);
    }

    static String problemsOf(String yaml) {
        return SetReader.readText("set", yaml).fold(set -> "", error -> error.detail());
    }

    static String problemsOf(String yaml, SetContext context) {
        return SetReader.readText("set", yaml, context).fold(set -> "", error -> error.detail());
    }

    private static PublishedSet fail(org.skylarkbend.base.SkylarkError error) {
        throw new AssertionError(error.detail());
    }
}
