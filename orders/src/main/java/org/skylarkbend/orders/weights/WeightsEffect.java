package org.skylarkbend.orders.weights;

/** An action that the commander has decided on to update weights. */
public sealed interface WeightsEffect {
    /** Requests a report from an engine. */
    record RequestReport(String engine) implements WeightsEffect {}

    /**
     * Orders an engine to load weights, once a quorum has confirmed this commander.
     *
     * @param engine the engine
     * @param model the model
     * @param version the version to load
     * @param fencingNumber the fencing number of the commander
     * @param expectedOrders the number of orders that the engine must have accepted before
     */
    record Load(String engine, String model, long version, long fencingNumber, long expectedOrders)
            implements WeightsEffect {}

    /** The set of loading engines or the versions of an engine have changed. */
    record LoadingChanged() implements WeightsEffect {}
}
