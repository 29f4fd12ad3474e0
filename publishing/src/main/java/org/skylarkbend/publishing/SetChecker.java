package org.skylarkbend.publishing;

import java.util.HashMap;
import java.util.Map;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.settings.YamlMap;

/** Checks the references between the objects of a set and their consistency. */
final class SetChecker {
    private final YamlMap mRoot;
    private final PublishedSet mSet;

    private SetChecker(YamlMap root, PublishedSet set) {
        mRoot = root;
        mSet = set;
    }

    static void check(YamlMap root, PublishedSet set) {
        SetChecker checker = new SetChecker(root, set);
        set.customers().values().forEach(checker::checkCustomer);
        set.keys().values().forEach(checker::checkKey);
        set.endpoints().values().forEach(checker::checkEndpoint);
        set.routes().values().forEach(checker::checkRoute);
        set.moves().values().forEach(checker::checkMove);
        checker.checkDigestsUnique();
        checker.checkOneMovePerRoute();
        checker.checkPathPrefixesUnique();
        MoveChecker moves = checker.moveChecker();
        moves.checkShares();
        moves.checkCycles();
    }

    /** Checks that new moves can be completed before their deadlines. */
    static void checkDeadlines(YamlMap root, PublishedSet set, SetContext context) {
        new SetChecker(root, set).moveChecker().checkDeadlines(context);
    }

    private MoveChecker moveChecker() {
        return new MoveChecker(
                mSet, (move, field, message) -> problem("moves", move, field, message));
    }

    private void checkCustomer(Customer customer) {
        checkReference("customers", customer.name(), "rate", mSet.rates(), customer.rate());
    }

    private void checkKey(CallerKey key) {
        checkReference("keys", key.name(), "customer", mSet.customers(), key.customer());
    }

    private void checkEndpoint(Endpoint endpoint) {
        checkReference(
                "endpoints", endpoint.name(), "version", mSet.versions(), endpoint.version());
    }

    private void checkRoute(Route route) {
        checkReference("routes", route.name(), "version", mSet.versions(), route.version());
        for (ObjectName customer : route.customers()) {
            checkReference("routes", route.name(), "customers", mSet.customers(), customer);
        }
        boolean served =
                mSet.endpoints().values().stream()
                        .anyMatch(e -> e.pool().equals(route.pool()) && e.kind() == route.kind());
        if (!served) {
            String message = "no endpoint of this kind is in the pool \"" + route.pool() + "\"";
            problem("routes", route.name(), "pool", message);
        }
        boolean isService = route.kind() == EndpointKind.SERVICE;
        if (isService && !route.pathPrefix().map(p -> p.startsWith("/")).orElse(false)) {
            problem(
                    "routes",
                    route.name(),
                    "path_prefix",
                    "a service requires a path prefix that starts with /");
        }
        if (!isService && route.pathPrefix().isPresent()) {
            problem("routes", route.name(), "path_prefix", "only a service can have a path prefix");
        }
        if (route.keyless() && !route.customers().isEmpty()) {
            problem("routes", route.name(), "customers", "an open route cannot name customers");
        }
    }

    private void checkMove(TrafficMove move) {
        checkReference("moves", move.name(), "route", mSet.routes(), move.route());
        checkReference("moves", move.name(), "from", mSet.versions(), move.fromVersion());
        checkReference("moves", move.name(), "to", mSet.versions(), move.toVersion());
        if (move.fromVersion().equals(move.toVersion())) {
            problem("moves", move.name(), "to", "the move does not change the version");
        }
        Route route = mSet.routes().get(move.route());
        if (route != null && !route.version().equals(move.fromVersion())) {
            String message = "the route \"" + route.name() + "\" runs \"" + route.version() + "\"";
            problem("moves", move.name(), "from", message);
        }
    }

    private void checkDigestsUnique() {
        Map<String, ObjectName> seen = new HashMap<>();
        for (CallerKey key : mSet.keys().values()) {
            ObjectName other = seen.putIfAbsent(key.digestSha256(), key.name());
            if (other != null) {
                problem(
                        "keys",
                        key.name(),
                        "digest_sha256",
                        "the same digest as that of the key " + other);
            }
        }
    }

    private void checkOneMovePerRoute() {
        Map<ObjectName, ObjectName> seen = new HashMap<>();
        for (TrafficMove move : mSet.moves().values()) {
            ObjectName other = seen.putIfAbsent(move.route(), move.name());
            if (other != null) {
                problem(
                        "moves",
                        move.name(),
                        "route",
                        "the move " + other + " refers to the same route");
            }
        }
    }

    private void checkPathPrefixesUnique() {
        Map<String, ObjectName> seen = new HashMap<>();
        for (Route route : mSet.routes().values()) {
            ObjectName other =
                    route.pathPrefix().map(p -> seen.putIfAbsent(p, route.name())).orElse(null);
            if (other != null) {
                problem(
                        "routes",
                        route.name(),
                        "path_prefix",
                        "the route " + other + " has the same path prefix");
            }
        }
    }

    private <V> void checkReference(
            String section,
            ObjectName name,
            String field,
            Map<ObjectName, V> targets,
            ObjectName target) {
        if (!targets.containsKey(target)) {
            problem(section, name, field, "no object \"" + target + "\" exists in this set");
        }
    }

    private void problem(String section, ObjectName name, String field, String message) {
        mRoot.map(section)
                .flatMap(fields -> fields.map(name.value()))
                .ifPresent(fields -> fields.problem(field, message));
    }
}
