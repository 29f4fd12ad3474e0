package org.skylarkbend.replay.model;

/** Receives the progress of a request from an engine model. */
interface EngineListener {
    /** Called when the engine emits the first token. */
    void firstToken(int cachedBlocks);

    /** Called when the response is complete. */
    void finished(int cachedBlocks);

    /** Called when the engine has crashed. */
    void failed();
}
