package org.skylarkbend.ctl;

import org.skylarkbend.base.ErrorKind;

/** Exit codes of the program. The numbers are part of its interface. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The set or a value in the request is invalid. */
    INVALID(1),
    /** The command line or the operator's settings are invalid. */
    USAGE(2),
    /** Another set was accepted on the same base revision. */
    CONFLICT(3),
    /** No leader could be reached in time; the request itself was not rejected. */
    UNREACHABLE(4),
    /** The set was accepted, but did not come into force before the deadline. */
    NOT_IN_FORCE(5),
    /** The operator's credential was refused. */
    REFUSED(6),
    /** An internal error of control or of this program. */
    FAULT(7),
    /** No line of the logs is about the call. */
    NOT_FOUND(8);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    /** Returns the exit code of the process. */
    public int code() {
        return mCode;
    }

    /** Returns the exit code for an error of control. */
    static ExitCode of(ErrorKind kind) {
        return switch (kind) {
            case SET_INVALID, BAD_REQUEST, BODY_TOO_LARGE, HEADERS_TOO_LARGE -> INVALID;
            case REVISION_CONFLICT -> CONFLICT;
            case OPERATOR_REFUSED -> REFUSED;
            case NO_LEADER, COMMIT_UNKNOWN, CONNECTION_FAILED -> UNREACHABLE;
            default -> FAULT;
        };
    }
}
