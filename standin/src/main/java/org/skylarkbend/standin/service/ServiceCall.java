package org.skylarkbend.standin.service;

/**
 * A call, as identified for counting: repeated attempts of a call have the same key.
 *
 * @param method the HTTP method
 * @param path the path
 * @param identity the idempotency key, or the SHA-256 digest of the body if there is no key
 */
public record ServiceCall(String method, String path, String identity) {
    /** Returns the key under which the runs of the call are counted. */
    public String key() {
        return method + " " + path + " " + identity;
    }
}
