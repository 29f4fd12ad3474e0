package org.skylarkbend.router;

/** A request received by a fake endpoint, as text. */
record FakeRequest(String method, String uri, String head, String body) {
    String header(String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name.toLowerCase() + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return "";
    }

    String attempt() {
        return header("X-Skylark-Attempt");
    }
}
