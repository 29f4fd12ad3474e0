package org.skylarkbend.publishing;

import org.skylarkbend.base.ObjectName;

/** An API key of a customer, stored only as its SHA-256 digest in lower-case hexadecimal. */
public record CallerKey(ObjectName name, ObjectName customer, String digestSha256) {}
