package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.settings.YamlDocument;
import org.skylarkbend.testing.TestAuthority;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks connections with mutual TLS. */
public class TlsConnectionTest {
    private static final String HOST = "127.0.0.1";
    private static final long TIMEOUT_SECONDS = 30;
    private static final long RELOAD_MILLISECONDS = 20;
    private static final int MAX_ATTEMPTS = 500;

    private Vertx mVertx;

    /** Kept by the test: Vert.x shuts down clients that are no longer referenced. */
    private final List<FrameDialer<String>> mDialers = new ArrayList<>();

    private Path mFolder;
    private TestAuthority mAuthority;
    private Promise<String> mReceived;
    private int mPort;

    @BeforeMethod
    public void listen() throws Exception {
        mVertx = Vertx.vertx();
        mFolder = Files.createTempDirectory("tls");
        mAuthority = new TestAuthority("fleet");
        mReceived = Promise.promise();
        FrameListener<String> listener =
                new FrameListener<>(
                        mVertx,
                        new TextCodec(),
                        options(Optional.of(files("server", mAuthority, mAuthority))),
                        MillisecondClock.monotonic());
        mPort =
                await(
                        listener.listen(
                                HOST, 0, accepted -> accepted.onMessage(mReceived::tryComplete)));
    }

    @AfterMethod
    public void close() throws Exception {
        await(mVertx.close());
        mDialers.clear();
    }

    @Test
    public void aMessageIsReceivedIfBothCertificatesAreFromTheAuthority() throws Exception {
        sendFrom(Optional.of(files("router", mAuthority, mAuthority)));
        assertThat(await(mReceived.future())).isEqualTo("hello");
    }

    @Test
    public void aClientOfAnotherAuthorityOrWithoutTlsIsRejected() throws Exception {
        TestAuthority other = new TestAuthority("other");
        assertThat(isReceivedFrom(Optional.of(files("stranger", other, mAuthority)))).isFalse();
        assertThat(isReceivedFrom(Optional.empty())).isFalse();
    }

    @Test
    public void aListenerOfAnotherAuthorityIsNotTrusted() throws Exception {
        TestAuthority other = new TestAuthority("other");
        TlsFiles trustsOther = files("router", mAuthority, other);
        assertThatThrownBy(() -> sendFrom(Optional.of(trustsOther)))
                .isInstanceOf(ExecutionException.class);
    }

    @Test
    public void changedTlsFilesAreLoadedWithoutARestart() throws Exception {
        TestAuthority next = new TestAuthority("next");
        TlsFiles nextFiles = files("router", next, next);
        assertThat(isReceivedFrom(Optional.of(nextFiles))).isFalse();
        files("server", next, next);
        boolean received = false;
        for (int attempt = 0; attempt < MAX_ATTEMPTS && !received; attempt++) {
            received = isReceivedFrom(Optional.of(nextFiles));
        }
        assertThat(received).isTrue();
    }

    @Test
    public void plainConnectionsToOtherVmsMustBeAllowedExplicitly() {
        assertThat(plainTcpResult("{}", "10.0.0.1").isSuccess()).isFalse();
        assertThat(plainTcpResult("{}", HOST).isSuccess()).isTrue();
        assertThat(plainTcpResult("plain_tcp: true", "10.0.0.1").isSuccess()).isTrue();
    }

    private static Result<Boolean> plainTcpResult(String yaml, String host) {
        return YamlDocument.readText(
                "settings.yaml",
                yaml,
                root -> {
                    boolean plainTcp = root.booleanOr("plain_tcp", false);
                    TlsFiles.checkPlainTcp(root, List.of(host), TlsFiles.read(root), plainTcp);
                    return plainTcp;
                });
    }

    private boolean isReceivedFrom(Optional<TlsFiles> files) throws Exception {
        mReceived = Promise.promise();
        try {
            Future<Void> closed = sendFrom(files);
            await(Future.any(mReceived.future(), closed));
            return mReceived.future().succeeded();
        } catch (ExecutionException e) {
            return false;
        }
    }

    /** Opens a connection and sends a message; the future completes when the connection closes. */
    private Future<Void> sendFrom(Optional<TlsFiles> files) throws Exception {
        Promise<Void> closed = Promise.promise();
        FrameDialer<String> dialer =
                new FrameDialer<>(
                        mVertx, new TextCodec(), options(files), MillisecondClock.monotonic());
        mDialers.add(dialer);
        await(
                dialer.dial(HOST, mPort)
                        .onSuccess(
                                connection -> {
                                    connection.onClose(closed::tryComplete);
                                    connection.send("hello");
                                }));
        return closed.future();
    }

    private static WireOptions options(Optional<TlsFiles> tls) {
        return new WireOptions(1_000, 100_000, 100, 2_000, 5_000, RELOAD_MILLISECONDS, tls);
    }

    private TlsFiles files(String name, TestAuthority issuer, TestAuthority trusted)
            throws IOException {
        TestAuthority.IssuedCertificate issued = issuer.issueCertificate(name);
        TlsFiles files =
                new TlsFiles(
                        mFolder.resolve(name + ".pem"),
                        mFolder.resolve(name + ".key"),
                        mFolder.resolve(name + ".ca"));
        Files.writeString(files.certificate(), issued.certificatePem());
        Files.writeString(files.key(), issued.keyPem());
        Files.writeString(files.authorities(), trusted.certificatePem());
        return files;
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Encodes messages that consist of one string. */
    private static final class TextCodec implements MessageCodec<String> {
        @Override
        public byte[] encode(String message) {
            return new MessageWriter(1).text(message).toBytes();
        }

        @Override
        public Result<String> decode(byte[] payload) {
            return MessageReader.decode(payload, reader -> reader.type() + reader.text())
                    .map(text -> text.substring(1));
        }
    }
}
