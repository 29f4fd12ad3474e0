package org.skylarkbend.catalog;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.skylarkbend.limits.LimitPolicy;

/**
 * What an operator should know of a catalog before it is published.
 *
 * @param errors reasons for which it would be refused
 * @param neverMatching entries that no call can match or use
 * @param contradictions limits that cannot hold together
 * @param differences what differs from the catalog in force
 */
public record CatalogReview(
        List<String> errors,
        List<String> neverMatching,
        List<String> contradictions,
        List<String> differences) {
    /** Creates the review with copies of the lists. */
    public CatalogReview {
        errors = List.copyOf(errors);
        neverMatching = List.copyOf(neverMatching);
        contradictions = List.copyOf(contradictions);
        differences = List.copyOf(differences);
    }

    /**
     * Reviews a catalog.
     *
     * @param catalog the catalog that is to be published
     * @param inForce the one that is in force, if it is known
     */
    public static CatalogReview of(Catalog catalog, Optional<Catalog> inForce) {
        return new CatalogReview(
                CatalogChecker.problemsOf(catalog),
                neverMatching(catalog),
                contradictions(catalog),
                inForce.map(older -> differences(older, catalog)).orElse(List.of()));
    }

    private static List<String> neverMatching(Catalog catalog) {
        List<String> findings = new ArrayList<>();
        Set<String> used = new HashSet<>();
        for (Route route : catalog.routes()) {
            if (route.host().isEmpty() || route.host().contains(":")) {
                findings.add(name(route) + " has a host that no call has: ports are left out");
            }
            if (route.pathPrefix().contains("?") || route.pathPrefix().contains("#")) {
                findings.add(name(route) + " has a path prefix that no path begins with");
            }
            for (Route.Target target : route.targets()) {
                used.add(target.service());
                if (target.weight() == 0) {
                    findings.add(
                            name(route) + " sends no calls to the service " + target.service());
                }
            }
        }
        for (Service service : catalog.services().values()) {
            if (!used.contains(service.name()) && service.store().isEmpty()) {
                findings.add("service " + service.name() + " is used by no route");
            }
        }
        for (Customer customer : catalog.customers()) {
            if (customer.keyDigests().isEmpty()) {
                findings.add("customer " + customer.name() + " has no key");
            }
        }
        return findings;
    }

    private static List<String> contradictions(Catalog catalog) {
        List<String> findings = new ArrayList<>();
        for (Route route : catalog.routes()) {
            if (route.targetMilliseconds() > route.timeoutMilliseconds()) {
                findings.add(
                        String.format(
                                "%s has a target of %d ms and a timeout of %d ms",
                                name(route),
                                route.targetMilliseconds(),
                                route.timeoutMilliseconds()));
            }
        }
        for (Customer customer : catalog.customers()) {
            if (!customer.isLimited() && customer.burstUnits() > 0) {
                findings.add("customer " + customer.name() + " has a burst and no rate: no limit");
            }
            if (customer.isLimited()
                    && customer.defaultUnitsPerCall()
                            > customer.burstUnits() / LimitPolicy.forGateways().holderDivisor()) {
                findings.add(
                        String.format(
                                "customer %s has a burst of %d units, of which a gateway holds"
                                        + " one in %d, and calls of %d units",
                                customer.name(),
                                customer.burstUnits(),
                                LimitPolicy.forGateways().holderDivisor(),
                                customer.defaultUnitsPerCall()));
            }
        }
        CallerLimits limits = catalog.callerLimits();
        CallerLimits most = CallerLimits.defaults();
        if (limits.headerBytes() > most.headerBytes()) {
            findings.add(
                    String.format(
                            "callers may send heads of %d bytes, and gateways take %d",
                            limits.headerBytes(), most.headerBytes()));
        }
        if (limits.headerMilliseconds() > limits.idleMilliseconds()) {
            findings.add("the time for a head is longer than that of an idle connection");
        }
        return findings;
    }

    private static List<String> differences(Catalog older, Catalog newer) {
        List<String> findings = new ArrayList<>();
        if (newer.number() <= older.number()) {
            findings.add(
                    String.format(
                            "number %d is not higher than %d, so nothing would change",
                            newer.number(), older.number()));
        }
        compare("route", byName(older.routes(), Route::name), byName(newer.routes(), Route::name))
                .forEach(findings::add);
        compare("service", new TreeMap<>(older.services()), new TreeMap<>(newer.services()))
                .forEach(findings::add);
        compare(
                        "customer",
                        byName(older.customers(), Customer::name),
                        byName(newer.customers(), Customer::name))
                .forEach(findings::add);
        if (!older.callerLimits().equals(newer.callerLimits())) {
            findings.add(
                    "limits of callers: " + older.callerLimits() + " to " + newer.callerLimits());
        }
        return findings;
    }

    /** Names what was added, removed or changed. The values are not shown: keys are among them. */
    private static <T> List<String> compare(
            String kind, Map<String, T> older, Map<String, T> newer) {
        List<String> findings = new ArrayList<>();
        newer.forEach(
                (name, entry) -> {
                    if (!older.containsKey(name)) {
                        findings.add(kind + " " + name + " is added");
                    } else if (!entry.equals(older.get(name))) {
                        findings.add(kind + " " + name + " is changed");
                    }
                });
        older.keySet().stream()
                .filter(name -> !newer.containsKey(name))
                .forEach(name -> findings.add(kind + " " + name + " is removed"));
        return findings;
    }

    private static <T> Map<String, T> byName(List<T> entries, Function<T, String> name) {
        return entries.stream()
                .collect(Collectors.toMap(name, Function.identity(), (a, b) -> b, TreeMap::new));
    }

    private static String name(Route route) {
        return "route \"" + route.name() + "\"";
    }
}
