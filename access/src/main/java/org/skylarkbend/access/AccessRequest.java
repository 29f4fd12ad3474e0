package org.skylarkbend.access;

import java.util.Optional;

/**
 * The properties of a call that determine its access.
 *
 * @param keyDigest the SHA-256 digest of the caller's key, if the call has one
 * @param model the model named in the request body, which is the name of an engine route; absent on
 *     paths of service routes
 * @param path the path of the call without its query string
 */
public record AccessRequest(Optional<String> keyDigest, Optional<String> model, String path) {}
