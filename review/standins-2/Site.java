import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A small site on loopback addresses: the programs of the deploy file as separate processes, with
 * settings from their templates, and stand-ins for the platform's list, replicas, clients and the
 * operator. All that happens is written to the record of the case.
 */
final class Site implements AutoCloseable {
    static final String HOST = "jepu9.example";
    static final String KEY = "wu3fexd9dnn2ctnfzs98";

    /** A program of the system on one machine, which is started again after its end. */
    final class Machine {
        final String node;
        final String role;
        final String ip;
        final Path settings;
        final Path log;
        volatile Process process;
        volatile boolean first = true;
        volatile int ends;
        volatile boolean closing;

        Machine(String node, String role, String ip) {
            this.node = node;
            this.role = role;
            this.ip = ip;
            settings = folder.resolve(node + ".yaml");
            log = folder.resolve(node + ".log");
        }

        void start() throws IOException {
            writeSettings(this);
            List<String> command = new ArrayList<>();
            for (String word : runOf(role).split(" ")) {
                command.add(word.equals("/etc/skylarkbend/local.toml") ? settings.toString() : word);
            }
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            record("start " + node + " pid " + process.pid());
            Process started = process;
            started.onExit()
                    .thenAccept(
                            p -> {
                                if (!closing) {
                                    ends++;
                                    record("END " + node + " pid " + p.pid() + " exit " + p.exitValue());
                                }
                            });
            first = false;
        }

        boolean runs() {
            return process != null && process.isAlive();
        }

        void signal(String name) throws Exception {
            record("signal " + name + " to " + node);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }
    }

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final List<Machine> machines = new CopyOnWriteArrayList<>();
    final List<Machine> cores = new ArrayList<>();
    final List<Machine> fronts = new ArrayList<>();
    final List<AutoCloseable> servers = new CopyOnWriteArrayList<>();
    final Map<String, String> listed = new TreeMap<>();
    final int frontPort;
    final int readyPort;
    final int controlPort;
    final int internalPort;
    final int metricsPort;
    final int listPort;
    int graceS = 8;
    private final Path recordFile;
    private final long startedNanos = System.nanoTime();

    Site(Path recordFile) throws IOException {
        this.recordFile = recordFile;
        Files.deleteIfExists(recordFile);
        folder = Files.createTempDirectory("skylark-review");
        frontPort = freePort();
        readyPort = freePort();
        controlPort = freePort();
        internalPort = freePorts(3);
        metricsPort = freePort();
        listPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    static int freePorts(int count) throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = freePort();
            boolean free = first < 60_000;
            for (int i = 0; free && i < count; i++) {
                try (ServerSocket socket = new ServerSocket(first + i)) {
                    free = socket.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    synchronized void record(String line) {
        String time = String.format(Locale.ROOT, "%8.3f ", (System.nanoTime() - startedNanos) / 1e9);
        try {
            Files.writeString(
                    recordFile,
                    time + line + "\n",
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts the platform's list, the core and the gateways, and waits until all are ready. */
    void start(int coreCount, int frontCount, String config) throws Exception {
        new Replica("127.0.0.1", listPort, this::serveList).start();
        for (int i = 0; i < coreCount; i++) {
            Machine core = new Machine("core-" + (i + 1), "skylark-core", "127.0.0." + (11 + i));
            cores.add(core);
            machines.add(core);
        }
        for (int i = 0; i < frontCount; i++) {
            Machine front = new Machine("front-" + (i + 1), "skylark-front", "127.0.0." + (21 + i));
            fronts.add(front);
            machines.add(front);
        }
        for (Machine machine : machines) {
            machine.start();
        }
        publish(config, 30_000);
        for (Machine front : fronts) {
            awaitReady(front, 30_000);
        }
    }

    void awaitReady(Machine front, long milliseconds) throws Exception {
        long until = System.currentTimeMillis() + milliseconds;
        while (System.currentTimeMillis() < until) {
            try {
                if (Http.call(front.ip, readyPort, "GET", "/api/readyz", Map.of(), "", 1_000).status == 200) {
                    record("ready " + front.node);
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(front.node + " is not ready");
    }

    /** Sends a config like the operator: again until it is acknowledged, and at other nodes. */
    void publish(String config, long milliseconds) throws Exception {
        Http.Answer answer = operator("PUT", "/api/config", config, milliseconds);
        if (answer.status != 200) {
            throw new IllegalStateException("config: status " + answer.status);
        }
    }

    /** Calls control like the operator. Returns the first clear answer. */
    Http.Answer operator(String method, String path, String body, long milliseconds) throws Exception {
        long until = System.currentTimeMillis() + milliseconds;
        int next = 0;
        String last = "none";
        while (System.currentTimeMillis() < until) {
            String ip = cores.get(next++ % cores.size()).ip;
            int port = controlPort;
            try {
                for (int redirects = 0; redirects < 3; redirects++) {
                    Http.Answer answer =
                            Http.call(
                                    ip,
                                    port,
                                    method,
                                    path,
                                    Map.of("Content-Type", "application/json"),
                                    body,
                                    1_000);
                    last = Integer.toString(answer.status);
                    if (answer.status == 307) {
                        java.net.URI to = java.net.URI.create(answer.header("location"));
                        ip = to.getHost();
                        port = to.getPort();
                        continue;
                    }
                    if (answer.status < 500 && answer.status != 408 && answer.status != 429) {
                        record("operator " + method + " " + path + " at " + ip + " -> " + answer.status);
                        return answer;
                    }
                    break;
                }
            } catch (IOException e) {
                last = e.getMessage();
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(method + " " + path + ": no answer, last " + last);
    }

    private void serveList(Http.Request request, Replica.Channel channel) throws IOException {
        StringBuilder entries = new StringBuilder();
        synchronized (listed) {
            for (String entry : listed.values()) {
                entries.append(entries.length() == 0 ? "" : ",").append(entry);
            }
        }
        channel.answer(
                200,
                Map.of("Content-Type", "application/json"),
                "{\"Instances\":[" + entries + "],\"NextPageToken\":null}");
    }

    /** Puts a replica on the platform's list. */
    void list(String id, String service, String address, String zone, int slots, String models) {
        synchronized (listed) {
            listed.put(
                    id,
                    String.format(
                            Locale.ROOT,
                            "{\"Id\":\"%s\",\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
                                    + "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"ready\","
                                    + "\"ColdRemainingMs\":0%s,\"born\":1700000000000}",
                            id, service, address, zone, slots, models));
        }
    }

    private static String runOf(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return line.substring("run = \"".length(), line.length() - 1);
            }
        }
        throw new IOException("no command of " + role);
    }

    private void writeSettings(Machine machine) throws IOException {
        boolean isCore = machine.role.equals("skylark-core");
        String text = Files.readString(Path.of(isCore ? "deploy/core.yaml" : "deploy/front.yaml"));
        StringBuilder seeds = new StringBuilder();
        for (Machine core : cores) {
            seeds.append(seeds.length() == 0 ? "" : ",");
            seeds.append('"').append(core.ip).append(':').append(controlPort).append('"');
        }
        Map<String, String> values = new LinkedHashMap<>();
        values.put("{{#Zones}}\"{{@}}\"{{,}}{{/Zones}}", "\"thies-nord\"");
        values.put("{{#Seeds}}\"{{.}}\"{{,}}{{/Seeds}}", seeds.toString());
        values.put("{{#FaultTolerance.Machines}}", "");
        values.put("{{/FaultTolerance.Machines}}", "");
        values.put("tolerated_losses: {{.}}", "tolerated_losses: " + (cores.size() - 1) / 2);
        values.put("{{#Bounds.ExposeShare}}exposure_share: {{.}}", "exposure_share: 0.1");
        values.put("{{/Bounds.ExposeShare}}", "");
        values.put("{{#Bounds.ExposeSlack}}exposure_calls: {{.}}", "exposure_calls: 50");
        values.put("{{/Bounds.ExposeSlack}}", "");
        values.put("{{Node}}", machine.node);
        values.put("{{Ip}}", machine.ip);
        values.put("{{Zone}}", "thies-nord");
        values.put("{{Listen.Control}}", machine.ip + ":" + controlPort);
        values.put("{{Listen.Front}}", machine.ip + ":" + frontPort);
        values.put("{{Listen.Ready}}", machine.ip + ":" + readyPort);
        values.put("{{InternalPorts.0}}", Integer.toString(internalPort));
        values.put("{{Bootstrap}}", Boolean.toString(machine.first));
        values.put("{{DataDir}}", folder.resolve("data-" + machine.node).toString());
        values.put("metrics_port: 9464", "metrics_port: " + metricsPort);
        values.put("{{Cloud.Address}}", "127.0.0.1:" + listPort);
        values.put("{{Bounds.GraceS}}", Integer.toString(graceS));
        values.put("{{Bounds.RequireFencing}}", "true");
        values.put("{{Bounds.LeaseMs}}", "3000");
        values.put("{{Bounds.CatchUpS}}", "4");
        values.put("{{Bounds.RetryBudgetRatio}}", "0.2");
        values.put("{{Bounds.QuotaSlack}}", "110000");
        values.put("{{Bounds.VersionMs}}", "8000");
        values.put("{{Bounds.QuotaWindowS}}", "8");
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace(value.getKey(), value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("a placeholder is left in the settings of " + machine.node + ":\n" + text);
        }
        Files.writeString(machine.settings, text);
    }

    /** Ends all processes and servers that were started. */
    @Override
    public void close() {
        for (Machine machine : machines) {
            machine.closing = true;
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
        for (Machine machine : machines) {
            try {
                if (machine.process != null) {
                    machine.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (AutoCloseable server : servers) {
            try {
                server.close();
            } catch (Exception e) {
                // it ends with this process
            }
        }
        if (System.getenv("KEEP") == null) {
            delete(folder.toFile());
        }
    }

    private static void delete(File file) {
        File[] children = file.listFiles();
        if (children != null) {
            for (File child : children) {
                delete(child);
            }
        }
        file.delete();
    }

    /** Serves HTTP/1.1 on a loopback address with one thread for each channel. */
    final class Replica implements AutoCloseable {
        interface Handler {
            void serve(Http.Request request, Channel channel) throws Exception;
        }

        /** An accepted channel. */
        final class Channel {
            final Socket socket;
            final InputStream in;
            final OutputStream out;

            Channel(Socket socket) throws IOException {
                this.socket = socket;
                in = new BufferedInputStream(socket.getInputStream());
                out = socket.getOutputStream();
            }

            void write(String text) throws IOException {
                out.write(text.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }

            void answer(int status, Map<String, String> headers, String body) throws IOException {
                StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
                headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                head.append("Content-Length: " + bytes.length + "\r\n\r\n");
                ByteArrayOutputStream whole = new ByteArrayOutputStream();
                whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
                whole.writeBytes(bytes);
                out.write(whole.toByteArray());
                out.flush();
            }

            void reset() throws IOException {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }

        final String ip;
        final int port;
        final Handler handler;
        private ServerSocket server;

        Replica(String ip, int port, Handler handler) {
            this.ip = ip;
            this.port = port;
            this.handler = handler;
            servers.add(this);
        }

        String address() {
            return ip + ":" + port;
        }

        void start() throws IOException {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
            Thread acceptor = new Thread(this::accept);
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Thread thread = new Thread(() -> serve(socket));
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Channel channel = new Channel(socket);
                while (!socket.isClosed()) {
                    Http.Request request = Http.readRequest(channel.in);
                    if (request == null) {
                        return;
                    }
                    handler.serve(request, channel);
                }
            } catch (IOException e) {
                // the channel is gone
            } catch (Exception e) {
                record("replica " + ip + ": " + e);
            }
        }

        @Override
        public void close() throws IOException {
            if (server != null) {
                server.close();
            }
        }
    }
}
