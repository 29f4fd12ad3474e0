package org.skylarkbend.ctl;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the comment {@code # base_revision: N} at the beginning of a fetched set. */
final class BaseRevision {
    private static final Pattern COMMENT = Pattern.compile("(?m)^# base_revision: ([0-9]{1,18})$");

    private BaseRevision() {}

    /** Returns the base revision in the comment, or empty if there is none. */
    static OptionalLong findIn(String yaml) {
        Matcher matcher = COMMENT.matcher(yaml);
        return matcher.find()
                ? OptionalLong.of(Long.parseLong(matcher.group(1)))
                : OptionalLong.empty();
    }
}
