package org.skylarkbend.control.settings;

import org.skylarkbend.base.ObjectName;

/** An operator and the SHA-256 digest of the credential, in lower-case hexadecimal. */
public record OperatorCredential(ObjectName name, String digestSha256) {}
