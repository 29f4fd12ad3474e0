package org.skylarkbend.orders.weights;

import java.util.List;
import java.util.Map;

/** What the commander over weights learns. Engines are named by their incarnation. */
public sealed interface WeightsMessage {
    /**
     * This control VM commands from now on.
     *
     * @param fencingNumber larger than that of every commander before
     */
    record TookCommand(long fencingNumber) implements WeightsMessage {}

    /**
     * A commander may order an engine from now on.
     *
     * @param engine the engine
     * @param fencingNumber the number of the commander
     */
    record Announced(String engine, long fencingNumber) implements WeightsMessage {}

    /** This control VM commands no more. */
    record LostCommand() implements WeightsMessage {}

    /** The newest versions by model. */
    record Named(Map<String, Long> versions) implements WeightsMessage {
        /** Copies the map. */
        public Named {
            versions = Map.copyOf(versions);
        }
    }

    /** The engines that take orders, with the versions that the platform lists for them. */
    record Listed(List<Engine> engines) implements WeightsMessage {
        /** Copies the list. */
        public Listed {
            engines = List.copyOf(engines);
        }
    }

    /**
     * An engine said what it has.
     *
     * @param engine the engine
     * @param weights the version that it has of each model
     * @param busy whether it carries out an order
     * @param acceptedOrders how many orders it has accepted since its start
     * @param queuedCalls how many calls wait in its queue
     */
    record Reported(
            String engine,
            Map<String, Long> weights,
            boolean busy,
            long acceptedOrders,
            long queuedCalls)
            implements WeightsMessage {
        /** Copies the map. */
        public Reported {
            weights = Map.copyOf(weights);
        }
    }

    /** An engine did not say what it has. */
    record ReportFailed(String engine) implements WeightsMessage {}

    /** An order was answered, or its time ran out. */
    record Answered(String engine, LoadAnswer answer) implements WeightsMessage {}

    /** Time has passed. */
    record Tick() implements WeightsMessage {}

    /** An engine and the versions that it is listed with. */
    record Engine(String incarnation, Map<String, Long> weights) {
        /** Copies the map. */
        public Engine {
            weights = Map.copyOf(weights);
        }
    }
}
