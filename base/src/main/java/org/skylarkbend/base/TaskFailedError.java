package org.skylarkbend.base;

/** A task cannot continue, because an unexpected exception left its state unknown. */
public final class TaskFailedError extends Error {
    private static final long serialVersionUID = 1L;

    /** Creates an error of a task with this name. */
    public TaskFailedError(String task, Throwable cause) {
        super(task + " cannot continue after " + cause, cause);
    }
}
