package org.skylarkbend.base.settings;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;

/** Collects the problems of a document while it is read, without duplicates. */
public final class YamlProblems {
    private final String mFile;
    private final Set<YamlProblem> mProblems = new LinkedHashSet<>();

    /** Creates an empty collection for a document; the file name is used in its problems. */
    public YamlProblems(String file) {
        mFile = file;
    }

    /** Adds a problem. */
    public void add(int line, String path, String message) {
        mProblems.add(new YamlProblem(mFile, line, path, message));
    }

    /** Returns all problems in the order in which they were added. */
    public List<YamlProblem> all() {
        return List.copyOf(mProblems);
    }

    /** Returns the value if there are no problems, and otherwise a failure that lists them all. */
    public <T> Result<T> resultOf(java.util.function.Supplier<T> value) {
        if (mProblems.isEmpty()) {
            return Result.success(value.get());
        }
        String list =
                mProblems.stream().map(YamlProblem::toString).collect(Collectors.joining("\n"));
        return Result.failure(ErrorKind.SET_INVALID, list);
    }
}
