package org.skylarkbend.standin.platform;

/** The state of a listed VM or endpoint. The list omits those that have stopped. */
public enum ListedState {
    /** It is running. */
    LIVE,
    /** It is about to stop. */
    LEAVING
}
