package org.skylarkbend.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.control.settings.ControlSettings;
import org.skylarkbend.control.settings.ControlVm;
import org.skylarkbend.control.settings.OperatorCredential;
import org.skylarkbend.testing.LoopbackPorts;

/**
 * Three control processes on loopback, each with its own data folder and with network links that
 * can be cut.
 */
final class ControlFleet {
    static final int MEMBERS = 3;
    static final String CREDENTIAL = "sk-operator";
    private static final int LEASE_MILLISECONDS = 1_000;
    private static final int MAX_ATTEMPTS = 1_200;
    private static final int MAX_SET_BYTES = 100_000;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);

    private final Vertx mVertx = Vertx.vertx();
    private final Tracing mTracing = new Tracing("test", Optional.empty());
    private final HttpClient mHttp =
            HttpClient.newBuilder().followRedirects(HttpClient.Redirect.NEVER).build();
    private final List<Path> mFolders = new ArrayList<>();
    private final List<ControlVm> mVms = new ArrayList<>();
    private final CuttableLink[][] mLinks = new CuttableLink[MEMBERS][MEMBERS];
    private final Map<Integer, ControlProcess> mRunning = new HashMap<>();

    ControlFleet() throws Exception {
        for (int i = 0; i < MEMBERS; i++) {
            mFolders.add(Files.createTempDirectory("control"));
            mVms.add(
                    new ControlVm(
                            ObjectName.of("control-" + i),
                            "127.0.0.1",
                            LoopbackPorts.next(),
                            LoopbackPorts.next(),
                            LoopbackPorts.next()));
        }
        for (int from = 0; from < MEMBERS; from++) {
            for (int to = 0; to < MEMBERS; to++) {
                mLinks[from][to] = new CuttableLink(mVertx, mVms.get(to).agreementPort());
            }
        }
    }

    static ControlFleet started() throws Exception {
        ControlFleet fleet = new ControlFleet();
        fleet.startAll();
        fleet.leader();
        return fleet;
    }

    void startAll() throws Exception {
        for (int i = 0; i < MEMBERS; i++) {
            start(i);
        }
    }

    void start(int member) throws Exception {
        ControlProcess process =
                new ControlProcess(ControlParts.of(mVertx, settings(member), mTracing));
        process.start().await(20, TimeUnit.SECONDS);
        mRunning.put(member, process);
    }

    void stop(int member) throws Exception {
        mRunning.remove(member).stop().await(20, TimeUnit.SECONDS);
    }

    void stopAll() throws Exception {
        for (int member : List.copyOf(mRunning.keySet())) {
            stop(member);
        }
    }

    void loseDisk(int member) throws IOException {
        try (Stream<Path> files = Files.walk(mFolders.get(member))) {
            files.sorted(Comparator.reverseOrder()).forEach(ControlFleet::delete);
        }
    }

    /** Isolates a member from all others, or reconnects it. */
    void cut(int member, boolean cut) {
        for (int other = 0; other < MEMBERS; other++) {
            mLinks[member][other].cut(cut);
            mLinks[other][member].cut(cut);
        }
    }

    Vertx vertx() {
        return mVertx;
    }

    RouterFake router(String vm) {
        return new RouterFake(mVertx, vm, mVms.stream().map(ControlVm::feedPort).toList());
    }

    /** Publishes through one member only and returns its response, including 307 and 503. */
    HttpResponse<String> publishAt(int member, String id, long base, String yaml) throws Exception {
        return send(request(member, "/v1/sets", id, base, yaml));
    }

    /**
     * Publishes through the leader, retrying with the same id until a member responds as the
     * leader.
     */
    HttpResponse<String> publish(String id, long base, String yaml) throws Exception {
        for (int attempt = 0; ; attempt++) {
            for (int member : List.copyOf(mRunning.keySet())) {
                Optional<HttpResponse<String>> response = tryPublish(member, id, base, yaml);
                if (response.isPresent()) {
                    return response.get();
                }
            }
            if (attempt > MAX_ATTEMPTS) {
                throw new AssertionError("no leader responded");
            }
            pause();
        }
    }

    long accepted(String id, long base, String yaml) throws Exception {
        HttpResponse<String> response = publish(id, base, yaml);
        if (response.statusCode() != 200) {
            throw new AssertionError(response.statusCode() + ": " + response.body());
        }
        return json(response).path("revision").asLong();
    }

    /** Returns the index of the leader. */
    int leader() throws Exception {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            for (int member : mRunning.keySet()) {
                if (get(member, "/v1/status").statusCode() == 200) {
                    return member;
                }
            }
            pause();
        }
        throw new AssertionError("no leader");
    }

    /** Waits until the member is a voter again, with a new storage identity. */
    void awaitVoter(int member, String formerIdentity) throws Exception {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            String identity = identity(member);
            if (!identity.equals("null") && !identity.equals(formerIdentity)) {
                return;
            }
            pause();
        }
        throw new AssertionError("member " + member + " did not become a voter again");
    }

    /** Returns the storage identity of a voting member, as known to the leader. */
    String identity(int member) throws Exception {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            HttpResponse<String> response = get(leader(), "/v1/status");
            if (response.statusCode() == 200) {
                JsonNode members = json(response).path("members");
                return members.get(member).path("identity").asText();
            }
            pause();
        }
        throw new AssertionError("no leader returned its status");
    }

    HttpResponse<String> get(int member, String path) throws Exception {
        return send(builder(member, path).GET().build());
    }

    HttpRequest.Builder builder(int member, String path) {
        int port = mVms.get(member).operatorPort();
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(RESPONSE_TIMEOUT)
                .header("Authorization", "Bearer " + CREDENTIAL);
    }

    HttpResponse<String> send(HttpRequest request) throws Exception {
        return mHttp.send(request, HttpResponse.BodyHandlers.ofString());
    }

    static JsonNode json(HttpResponse<String> response) throws IOException {
        return new ObjectMapper().readTree(response.body());
    }

    void close() throws Exception {
        stopAll();
        mVertx.close().await(20, TimeUnit.SECONDS);
        for (int i = 0; i < MEMBERS; i++) {
            loseDisk(i);
        }
    }

    private Optional<HttpResponse<String>> tryPublish(int member, String id, long base, String yaml)
            throws Exception {
        try {
            HttpResponse<String> response = publishAt(member, id, base, yaml);
            int status = response.statusCode();
            boolean retryable = status == 307 || status == 503 || status == 504;
            return retryable ? Optional.empty() : Optional.of(response);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private HttpRequest request(int member, String path, String id, long base, String yaml) {
        return builder(member, path)
                .header("X-Publish-Id", id)
                .header("X-Base-Revision", Long.toString(base))
                .POST(HttpRequest.BodyPublishers.ofString(yaml))
                .build();
    }

    /** Waits 50 ms between two attempts, so that polling is not a busy loop. */
    private void pause() throws Exception {
        mVertx.timer(50, TimeUnit.MILLISECONDS).await(20, TimeUnit.SECONDS);
    }

    private ControlSettings settings(int member) {
        List<ControlVm> addresses = new ArrayList<>();
        for (int other = 0; other < MEMBERS; other++) {
            ControlVm vm = mVms.get(other);
            int port = other == member ? vm.agreementPort() : mLinks[member][other].port();
            addresses.add(
                    new ControlVm(vm.vm(), vm.host(), port, vm.feedPort(), vm.operatorPort()));
        }
        return new ControlSettings(
                mVms.get(member).vm(),
                ObjectName.of("thies-a"),
                mFolders.get(member),
                addresses,
                List.of(new OperatorCredential(ObjectName.of("desk"), Sha256.hexOf(CREDENTIAL))),
                LEASE_MILLISECONDS,
                MAX_SET_BYTES,
                Optional.empty(),
                false,
                Optional.empty());
    }

    private static void delete(Path path) {
        try {
            Files.delete(path);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
