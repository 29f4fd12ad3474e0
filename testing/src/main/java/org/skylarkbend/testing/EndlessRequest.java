package org.skylarkbend.testing;

/**
 * Request that never ends.
 *
 * @param name description for the name of the test case
 * @param first bytes that are sent once
 * @param repeated bytes that are sent again and again after them; empty if none are
 */
public record EndlessRequest(String name, String first, String repeated) {
    @Override
    public String toString() {
        return name;
    }
}
