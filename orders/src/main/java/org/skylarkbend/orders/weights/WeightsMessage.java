package org.skylarkbend.orders.weights;

import java.util.List;
import java.util.Map;

/** Input of the commander about weights. Engines are identified by their incarnation. */
public sealed interface WeightsMessage {
    /**
     * This control VM has taken command.
     *
     * @param fencingNumber a number higher than that of every previous commander
     */
    record CommandTaken(long fencingNumber) implements WeightsMessage {}

    /**
     * A commander has announced that it may order an engine.
     *
     * @param engine the engine
     * @param fencingNumber the fencing number of the commander
     */
    record Announced(String engine, long fencingNumber) implements WeightsMessage {}

    /** This control VM has lost command. */
    record CommandLost() implements WeightsMessage {}

    /** The target version of each model has changed. */
    record TargetVersionsChanged(Map<String, Long> versions) implements WeightsMessage {
        /** Copies the map. */
        public TargetVersionsChanged {
            versions = Map.copyOf(versions);
        }
    }

    /** The engines that accept orders, with the versions listed by the platform. */
    record EnginesListed(List<Engine> engines) implements WeightsMessage {
        /** Copies the list. */
        public EnginesListed {
            engines = List.copyOf(engines);
        }
    }

    /**
     * An engine has reported its state.
     *
     * @param engine the engine
     * @param weights the loaded version of each model
     * @param busy true if an order is in progress
     * @param acceptedOrders the number of orders accepted since its start
     * @param queuedCalls the number of calls in its queue
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

    /**
     * An engine did not report its state.
     *
     * @param engine incarnation of the engine
     * @param retryAfterMilliseconds time for which the engine wants no requests; 0 if it named none
     */
    record ReportFailed(String engine, long retryAfterMilliseconds) implements WeightsMessage {}

    /** An order received a response or timed out. */
    record OrderCompleted(String engine, LoadAnswer answer) implements WeightsMessage {}

    /** Time has passed. */
    record Tick() implements WeightsMessage {}

    /** An engine and its listed versions. */
    record Engine(String incarnation, Map<String, Long> weights) {
        /** Copies the map. */
        public Engine {
            weights = Map.copyOf(weights);
        }
    }
}
