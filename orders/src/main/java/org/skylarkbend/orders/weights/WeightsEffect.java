package org.skylarkbend.orders.weights;

/** What the commander over weights does next. */
public sealed interface WeightsEffect {
    /** Ask an engine what it has. */
    record AskReport(String engine) implements WeightsEffect {}

    /**
     * Order an engine to load weights, once a quorum has confirmed this commander.
     *
     * @param engine the engine
     * @param model the model
     * @param version the version to load
     * @param fencingNumber the commander's number
     * @param expectedOrders how many orders the engine must have accepted before
     */
    record Load(String engine, String model, long version, long fencingNumber, long expectedOrders)
            implements WeightsEffect {}

    /** Which engines load, or what they have, has changed. */
    record LoadingChanged() implements WeightsEffect {}
}
