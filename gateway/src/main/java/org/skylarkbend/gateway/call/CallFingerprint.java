package org.skylarkbend.gateway.call;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.zip.CRC32C;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.gateway.endpoints.Prompt;
import org.skylarkbend.quarantine.PromptPart;

/**
 * What a call has in common with others that may crash the same endpoints: the parts of its prompt,
 * a digest of its content, and one that is the same for all repetitions by its customer. Confined
 * to the task that serves the calls.
 */
final class CallFingerprint {
    private static final String CONTENT_PREFIX = "call-";
    private static final String REPETITION_PREFIX = "caller-";

    /** Length of a digest of 128 bits, which no two calls share by chance. */
    private static final int DIGEST_CHARS = 32;

    private final CallRequest mCall;
    private final Supplier<Buffer> mBody;
    private Optional<String> mBodyChecksum = Optional.empty();
    private List<PromptPart> mOwn = List.of();

    /**
     * Creates the fingerprint of a call.
     *
     * @param call the call
     * @param body returns the body until {@link #bodyReleased} is called
     */
    CallFingerprint(CallRequest call, Supplier<Buffer> body) {
        mCall = call;
        mBody = body;
    }

    /** Keeps what identifies the body, which is about to be released. */
    void bodyReleased() {
        bodyChecksum();
    }

    /** Returns the parts that the call shares with calls of other content. */
    List<PromptPart> sharedParts() {
        return mCall.sharedParts();
    }

    /**
     * Returns the parts that only calls of the same session or content have. They are computed on
     * the first use, since few calls meet a crash.
     */
    List<PromptPart> ownParts() {
        if (mOwn.isEmpty()) {
            List<PromptPart> own = new ArrayList<>();
            mCall.prompt().flatMap(Prompt::ownPart).ifPresent(own::add);
            String content = content();
            own.add(new PromptPart(subject(), CONTENT_PREFIX + digest(content)));
            own.add(new PromptPart(subject(), REPETITION_PREFIX + digest(content + customer())));
            mOwn = List.copyOf(own);
        }
        return mOwn;
    }

    /** Returns all parts. */
    List<PromptPart> parts() {
        List<PromptPart> parts = new ArrayList<>(sharedParts());
        parts.addAll(ownParts());
        return parts;
    }

    /** Returns the model that reads the prompt, or the service of a call without a prompt. */
    String subject() {
        return mCall.prompt().map(Prompt::model).orElse(mCall.service());
    }

    /** Returns what the caller repeats. IDs, deadlines and keys differ between repetitions. */
    private String content() {
        return String.join(
                " ",
                mCall.method().name(),
                String.valueOf(mCall.host()).toLowerCase(Locale.ROOT),
                mCall.uri(),
                mCall.prompt().map(Prompt::toString).orElse(""),
                bodyChecksum());
    }

    private String customer() {
        return mCall.customer().map(customer -> " by " + customer.name()).orElse("");
    }

    private static String digest(String identity) {
        return Sha256.hexOf(identity).substring(0, DIGEST_CHARS);
    }

    private String bodyChecksum() {
        if (mBodyChecksum.isEmpty()) {
            byte[] body = mBody.get().getBytes();
            CRC32C checksum = new CRC32C();
            checksum.update(body);
            mBodyChecksum = Optional.of(body.length + ":" + checksum.getValue());
        }
        return mBodyChecksum.get();
    }
}
