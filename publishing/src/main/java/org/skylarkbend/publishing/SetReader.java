package org.skylarkbend.publishing;

import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.settings.YamlDocument;
import org.skylarkbend.base.settings.YamlMap;

/** Parses a set from YAML and validates it, including references between its objects. */
public final class SetReader {
    private static final long MAX_TOKENS = 1_000_000_000_000L;
    private static final double MAX_PRICE = 1e9;
    private static final long MAX_MILLISECONDS = 366L * 24 * 3600 * 1000;
    private static final long MAX_PRIORITY = 9;
    private static final long MAX_WEIGHT = 1_000;
    private static final long MAX_PORT = 65_535;
    private static final long DEFAULT_WATCH_MILLISECONDS = 60_000;
    private static final long DEFAULT_LOAD_MILLISECONDS = 500;
    private static final double DEFAULT_TRIAL_SHARE = 0.05;
    private static final String DIGEST_PATTERN = "[0-9a-f]{64}";

    private SetReader() {}

    /** Parses and validates a file; fails with all problems found. */
    public static Result<PublishedSet> readFile(Path file) {
        return YamlDocument.readFile(file, SetReader::read);
    }

    /** Parses and validates a text; the file name is used in the reported problems. */
    public static Result<PublishedSet> readText(String fileName, String yaml) {
        return YamlDocument.readText(fileName, yaml, SetReader::read);
    }

    /**
     * Parses and validates a text, including the deadlines of moves that are new in this context.
     */
    public static Result<PublishedSet> readText(String fileName, String yaml, SetContext context) {
        return YamlDocument.readText(
                fileName,
                yaml,
                root -> {
                    PublishedSet set = read(root);
                    SetChecker.checkDeadlines(root, set, context);
                    return set;
                });
    }

    private static PublishedSet read(YamlMap root) {
        PublishedSet set =
                new PublishedSet(
                        objects(root, "rates", SetReader::rate),
                        objects(root, "customers", SetReader::customer),
                        objects(root, "keys", SetReader::key),
                        objects(root, "versions", SetReader::version),
                        objects(root, "endpoints", SetReader::endpoint),
                        objects(root, "routes", SetReader::route),
                        objects(root, "moves", SetReader::move));
        SetChecker.check(root, set);
        return set;
    }

    private static <T> SortedMap<ObjectName, T> objects(
            YamlMap root, String field, BiFunction<ObjectName, YamlMap, T> reader) {
        SortedMap<ObjectName, T> objects = new TreeMap<>();
        root.map(field)
                .ifPresent(
                        section -> {
                            for (String name : section.fieldNames()) {
                                readObject(section, name, reader, objects);
                            }
                        });
        return objects;
    }

    private static <T> void readObject(
            YamlMap section,
            String name,
            BiFunction<ObjectName, YamlMap, T> reader,
            SortedMap<ObjectName, T> objects) {
        if (!ObjectName.isValid(name)) {
            section.problem(name, "invalid name (use 1 to 64 of a-z 0-9 - _ .)");
            return;
        }
        section.map(name)
                .ifPresent(
                        fields -> {
                            objects.put(
                                    ObjectName.of(name), reader.apply(ObjectName.of(name), fields));
                            fields.reportUnknownFields();
                        });
    }

    private static Rate rate(ObjectName name, YamlMap fields) {
        return new Rate(
                name,
                fields.integer("tokens_per_second", 1, MAX_TOKENS),
                fields.integer("burst_tokens", 1, MAX_TOKENS),
                fields.textOr("currency", "XOF"),
                fields.decimalOr("prompt_price_per_million_tokens", 0.0, 0, MAX_PRICE),
                fields.decimalOr("cached_price_per_million_tokens", 0.0, 0, MAX_PRICE),
                fields.decimalOr("answer_price_per_million_tokens", 0.0, 0, MAX_PRICE));
    }

    private static Customer customer(ObjectName name, YamlMap fields) {
        return new Customer(
                name,
                fields.name("rate"),
                fields.decimalOr("grant_per_month", Double.MAX_VALUE, 0, Double.MAX_VALUE),
                (int) fields.integerOr("weight", 1L, 1, MAX_WEIGHT));
    }

    private static CallerKey key(ObjectName name, YamlMap fields) {
        String digest = fields.textOr("digest_sha256", "");
        if (!digest.matches(DIGEST_PATTERN)) {
            fields.problem("digest_sha256", "expected 64 lower-case hexadecimal digits");
        }
        return new CallerKey(name, fields.name("customer"), digest);
    }

    private static EndpointVersion version(ObjectName name, YamlMap fields) {
        return new EndpointVersion(
                name,
                fields.text("model"),
                fields.textOr("weights", ""),
                fields.integerOr(
                        "load_milliseconds", DEFAULT_LOAD_MILLISECONDS, 0, MAX_MILLISECONDS));
    }

    private static Endpoint endpoint(ObjectName name, YamlMap fields) {
        return new Endpoint(
                name,
                fields.text("host"),
                (int) fields.integer("port", 1, MAX_PORT),
                fields.name("data_centre"),
                fields.name("pool"),
                fields.enumOr("kind", EndpointKind.class, EndpointKind.ENGINE),
                fields.name("version"),
                fields.booleanOr("checks_fencing", false));
    }

    private static Route route(ObjectName name, YamlMap fields) {
        EndpointKind kind = fields.enumOr("kind", EndpointKind.class, EndpointKind.ENGINE);
        return new Route(
                name,
                kind,
                java.util.Optional.ofNullable(
                        fields.has("path_prefix") ? fields.text("path_prefix") : null),
                fields.name("pool"),
                fields.name("version"),
                fields.booleanOr("open", false),
                fields.booleanOr("idempotent", kind == EndpointKind.ENGINE),
                (int) fields.integerOr("priority", 0L, 0, MAX_PRIORITY),
                fields.integer("deadline_milliseconds", 1, MAX_MILLISECONDS),
                fields.names("customers"));
    }

    private static TrafficMove move(ObjectName name, YamlMap fields) {
        return new TrafficMove(
                name,
                fields.name("route"),
                fields.name("from"),
                fields.name("to"),
                instant(fields, "complete_by"),
                fields.decimalOr("trial_share", DEFAULT_TRIAL_SHARE, 0, 1),
                fields.integerOr(
                        "watch_milliseconds", DEFAULT_WATCH_MILLISECONDS, 0, MAX_MILLISECONDS));
    }

    private static long instant(YamlMap fields, String field) {
        String text = fields.text(field);
        if (text == null) {
            return 0;
        }
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            fields.problem(field, "expected a time such as 2026-12-31T18:00:00Z");
            return 0;
        }
    }
}
