package org.skylarkbend.gateway.endpoints;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps the order in which engines load newer weights, by service and model. */
final class WeightsLoadOrders {
    private final WeightsCost mWeightsCost;
    private final Map<String, Map<String, Map<EndpointLoad, Integer>>> mOrders = new HashMap<>();

    WeightsLoadOrders(WeightsCost weightsCost) {
        mWeightsCost = weightsCost;
    }

    /** Forgets all orders, because the engines have changed. */
    void clear() {
        mOrders.clear();
    }

    /** Returns the order of a service's engines for a model. */
    Map<EndpointLoad, Integer> of(String service, List<EndpointLoad> engines, String model) {
        return mOrders.computeIfAbsent(service, name -> new HashMap<>())
                .computeIfAbsent(model, name -> mWeightsCost.weightsLoadOrder(engines, model));
    }
}
