package org.skylarkbend.ctl;

import java.security.SecureRandom;
import java.util.Base64;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.skylarkbend.base.Sha256;

/** The command {@code skylarkctl key new}, which generates a key and prints it with its digest. */
public final class KeyCommand implements CtlCommand {
    private static final int KEY_BYTES = 32;
    private static final String PREFIX = "sk-";

    /** Action on a key. */
    public enum Action {
        /** Generates a key. */
        NEW
    }

    @Argument(required = true, metaVar = "new", usage = "generate a key")
    private Action mAction;

    @Option(name = "--json", usage = "print JSON")
    private boolean mJson;

    /** Creates the command; args4j sets its options and arguments. */
    public KeyCommand() {}

    @Override
    public ExitCode run(CtlEnvironment environment) {
        byte[] random = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(random);
        String key = PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
        String digest = Sha256.hexOf(key);
        if (mJson) {
            environment
                    .out()
                    .println(CtlJson.object().put("key", key).put("digest_sha256", digest));
        } else {
            environment.out().println("key            " + key);
            environment.out().println("digest_sha256  " + digest);
            environment.err().println("next: give the key to its owner; it is not shown again.");
            environment.err().println("Only the digest belongs in the set or the settings.");
        }
        return ExitCode.OK;
    }
}
