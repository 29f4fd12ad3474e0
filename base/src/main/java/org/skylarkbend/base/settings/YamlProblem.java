package org.skylarkbend.base.settings;

/** A problem of a YAML document at a 1-based line. */
public record YamlProblem(String file, int line, String path, String message) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + path + ": " + message;
    }
}
