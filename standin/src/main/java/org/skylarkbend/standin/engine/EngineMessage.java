package org.skylarkbend.standin.engine;

/** A message to an engine. */
public sealed interface EngineMessage {
    /** A new completion request. */
    record Submit(EngineRequest request) implements EngineMessage {}

    /** A caller resumes a stream after a position. */
    record Resume(String attempt, int afterPosition) implements EngineMessage {}

    /** The connection of a response was closed. Its stream can be resumed for some time. */
    record ConnectionClosed(String attempt) implements EngineMessage {}

    /** The caller cancelled a response. */
    record Cancel(String attempt) implements EngineMessage {}

    /** An order from the control process. */
    record Order(long fencingNumber, OrderKind kind, String version) implements EngineMessage {}

    /** Replaces the active faults. */
    record ChangeFaults(EngineFaults faults) implements EngineMessage {}

    /** The time of the last {@link EngineEffect.WakeAt} has come. */
    record Wake() implements EngineMessage {}

    /** The action that an order requests. */
    enum OrderKind {
        /** Load a version in addition to those already loaded. */
        LOAD_VERSION,
        /** Unload a version. */
        UNLOAD_VERSION,
        /** Respond to new requests with a loaded version. */
        ACTIVATE_VERSION
    }
}
