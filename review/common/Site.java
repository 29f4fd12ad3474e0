import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses. It starts the programs of {@code deploy/system.toml} as
 * separate processes, and holds stand-ins of the platform's list, of replicas, of clients and of
 * the operator. Every address is its own 127.x.y.z, because all machines use the same ports.
 */
final class Site implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** A request or a response: the words of its first line, its headers (lower case), its body. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** What a replica does with a request. Returns false to close the connection. */
    interface Handler {
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** A stand-in of a replica, or of the platform, that serves HTTP/1.1 on kept connections. */
    final class Server implements AutoCloseable {
        final String host;
        final int port;
        private final ServerSocket mListener;

        Server(String host, int port, Handler handler) throws IOException {
            this.host = host;
            this.port = port;
            mListener = new ServerSocket(port, 512, InetAddress.getByName(host));
            daemon(() -> accept(handler));
        }

        String address() {
            return host + ":" + port;
        }

        private void accept(Handler handler) {
            while (!mListener.isClosed()) {
                try {
                    Socket socket = mListener.accept();
                    daemon(() -> serve(socket, handler));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                while (true) {
                    Message request = readMessage(in, true, -1);
                    if (request == null
                            || !handler.handle(request, socket.getOutputStream(), socket)) {
                        return;
                    }
                }
            } catch (Exception e) {
                return;
            }
        }

        @Override
        public void close() throws IOException {
            mListener.close();
        }
    }

    final Path root = Path.of("").toAbsolutePath();
    final Path temp;
    private final PrintWriter mRecord;
    private final long mStartedNanos = System.nanoTime();
    private final String mNet;
    private final int mPort;
    private final List<Process> mProcesses = new ArrayList<>();
    private final List<AutoCloseable> mServers = new ArrayList<>();
    private final List<String> mInstances = new ArrayList<>();
    final Map<String, Process> running = new LinkedHashMap<>();

    Site(Path folder) throws IOException {
        temp = Files.createTempDirectory("review");
        mRecord = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String net = "";
        int port = 0;
        boolean free = false;
        while (!free) {
            net = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
            port = random.nextInt(21, 60) * 500;
            free = isFree(net, port);
        }
        mNet = net;
        mPort = port;
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    private synchronized void endProcesses() {
        mProcesses.forEach(Process::destroyForcibly);
    }

    private static boolean isFree(String net, int port) {
        for (int host = 10; host < 60; host++) {
            for (int offset = 0; offset < 8; offset++) {
                try (ServerSocket probe =
                        new ServerSocket(port + offset, 1, InetAddress.getByName(net + host))) {
                    probe.getLocalPort();
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long milliseconds() {
        return (System.nanoTime() - mStartedNanos) / 1_000_000;
    }

    synchronized void record(String line) {
        String timed = String.format(Locale.ROOT, "%8d ms  %s", milliseconds(), line);
        mRecord.println(timed);
        mRecord.flush();
        if (System.getenv("SHOW") != null) {
            System.out.println(timed);
        }
    }

    // The programs of the deploy file

    String coreHost(int number) {
        return mNet + (10 + number);
    }

    String frontHost(int number) {
        return mNet + (20 + number);
    }

    int controlPort() {
        return mPort + 3;
    }

    int frontPort() {
        return mPort + 4;
    }

    private String listAddress() {
        return mNet + "30:" + (mPort + 6);
    }

    /** Starts a core machine; its data folder is kept over restarts. */
    Process startCore(int number, boolean bootstrap, int seeds) throws IOException {
        String host = coreHost(number);
        Path data = temp.resolve("data-core-" + number);
        Files.createDirectories(data);
        String settings =
                commonSettings("core-" + number, host, seeds)
                        + "listen: \"" + host + ":" + controlPort() + "\"\n"
                        + "first_start: " + bootstrap + "\n"
                        + "data_folder: \"" + data + "\"\n"
                        + "engines_check_fencing: true\n"
                        + "exposure_share: 0.1\nexposure_calls: 50\n";
        return start("skylark-core", "core-" + number, settings);
    }

    Process startFront(int number, int seeds) throws IOException {
        String host = frontHost(number);
        String settings =
                commonSettings("front-" + number, host, seeds)
                        + "listen: \"" + host + ":" + frontPort() + "\"\n"
                        + "ready: \"" + host + ":" + (mPort + 5) + "\"\n";
        return start("skylark-front", "front-" + number, settings);
    }

    /** The values of a small deployment (beaudoin-releves). */
    private String commonSettings(String vm, String host, int seeds) {
        StringBuilder control = new StringBuilder();
        for (int i = 1; i <= seeds; i++) {
            control.append(i > 1 ? "," : "").append('"').append(coreHost(i)).append(':');
            control.append(controlPort()).append('"');
        }
        return "vm: \"" + vm + "\"\nhost: \"" + host + "\"\ndata_centre: \"quebec-a\"\n"
                + "control: [" + control + "]\n"
                + "first_internal_port: " + mPort + "\n"
                + "metrics_port: " + (mPort + 2) + "\n"
                + "endpoint_list: \"" + listAddress() + "\"\n"
                + "grace_seconds: 8\nlease_milliseconds: 3000\ncatch_up_seconds: 4\n"
                + "retry_ratio: 0.2\nlimit_slack_units: 110000\nweights_milliseconds: 8000\n"
                + "limit_window_seconds: 8\n";
    }

    private Process start(String role, String name, String settings) throws IOException {
        Path file = temp.resolve(name + ".yaml");
        Files.writeString(file, settings);
        String[] words = command(role).split(" ");
        for (int i = 0; i < words.length; i++) {
            words[i] = words[i].equals("/etc/skylarkbend/local.toml") ? file.toString() : words[i];
        }
        ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
        Process process = builder.start();
        mProcesses.add(process);
        running.put(name, process);
        record("started " + name);
        return process;
    }

    private String command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles." + role + "]") : inRole;
            if (inRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no role " + role + " in deploy/system.toml");
    }

    String log(String name) throws IOException {
        return Files.readString(temp.resolve(name + ".log"));
    }

    static void signal(Process process, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    // Stand-ins of the platform and of replicas

    void startList() throws IOException {
        String host = listAddress().split(":")[0];
        mServers.add(
                new Server(
                        host,
                        mPort + 6,
                        (request, out, socket) -> {
                            String body;
                            synchronized (mInstances) {
                                body = "{\"Instances\":[" + String.join(",", mInstances)
                                        + "],\"NextPageToken\":null}";
                            }
                            answer(out, 200, "Content-Type: application/json\r\n", body);
                            return true;
                        }));
    }

    Server startReplica(int number, Handler handler) throws IOException {
        Server server = new Server(mNet + (40 + number), mPort + 7, handler);
        mServers.add(server);
        return server;
    }

    void list(String id, String service, Server server, int slots, String more) {
        synchronized (mInstances) {
            mInstances.add(
                    "{\"Id\":\"" + id + "\",\"Service\":\"" + service + "\",\"Address\":\""
                            + server.address() + "\",\"Zone\":\"quebec-a\",\"Version\":\"v1\","
                            + "\"Slots\":" + slots + ",\"State\":\"ready\",\"born\":1700000000000,"
                            + "\"ColdRemainingMs\":0" + more + "}");
        }
    }

    static void answer(OutputStream out, int status, String headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " X\r\n" + headers
                + "Content-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
        whole.write(bytes);
        out.write(whole.toByteArray());
        out.flush();
    }

    /** The headers with which a replica marks its answer to a request. */
    static String sealed(Message request) {
        return "Skylarkbend-Request-Id: " + request.header("Skylarkbend-Request-Id") + "\r\n"
                + "Skylarkbend-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
    }

    // Stand-ins of the operator and of clients

    /** Makes a call of the operator, at one machine after the other, for some time. */
    Message operate(String method, String path, String body, int cores, long forMilliseconds) {
        long until = milliseconds() + forMilliseconds;
        for (int i = 0; milliseconds() < until; i++) {
            String host = coreHost(1 + i % cores);
            try {
                Message response = request(host, controlPort(), method, path, "", body, 1_000);
                for (int n = 0; n < 2 && response != null && response.status() == 307; n++) {
                    String to = response.header("Location").split("/")[2];
                    host = to.split(":")[0];
                    response = request(host, controlPort(), method, path, "", body, 1_000);
                }
                if (response != null && (response.status() == 200 || response.status() == 400)) {
                    return response;
                }
            } catch (IOException e) {
                sleep(20);
            }
            sleep(80);
        }
        return null;
    }

    boolean awaitReady(int front, long forMilliseconds) {
        long until = milliseconds() + forMilliseconds;
        while (milliseconds() < until) {
            try {
                Message got = request(
                        frontHost(front), mPort + 5, "GET", "/api/readyz", "", "", 1_000);
                if (got != null && got.status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                sleep(20);
            }
            sleep(100);
        }
        return false;
    }

    /** Sends one request on a connection of its own. Returns null if the channel ends first. */
    Message request(
            String host,
            int port,
            String method,
            String path,
            String headers,
            String body,
            int timeoutMilliseconds)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setSoTimeout(timeoutMilliseconds);
            send(socket, method, path, headers, body);
            return readMessage(socket.getInputStream(), false, timeoutMilliseconds);
        }
    }

    static void send(Socket socket, String method, String path, String headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        boolean hasHost = headers.startsWith("Host:");
        String head = method + " " + path + " HTTP/1.1\r\n" + (hasHost ? "" : "Host: control\r\n")
                + headers
                + (bytes.length > 0 ? "Content-Length: " + bytes.length + "\r\n" : "") + "\r\n";
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
        whole.write(bytes);
        socket.getOutputStream().write(whole.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Reads a message, or null if the channel ends before its first byte. */
    static Message readMessage(InputStream in, boolean isRequest, int ignored)
            throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String line = line(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            line = line(in);
        }
        if (line == null) {
            throw new EOFException("the channel ended within a head");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            int size = Integer.parseInt(line(in).trim(), 16);
            while (size > 0) {
                body.write(in.readNBytes(size));
                line(in);
                String next = line(in);
                if (next == null) {
                    throw new EOFException("the channel ended within a body");
                }
                size = Integer.parseInt(next.trim(), 16);
            }
            line(in);
        } else if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("the channel ended within a body");
            }
            body.write(bytes);
        } else if (!isRequest) {
            body.write(in.readAllBytes());
        }
        return new Message(first, headers, body.toByteArray());
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int read = in.read();
        if (read < 0) {
            return null;
        }
        while (read >= 0 && read != '\n') {
            bytes.write(read);
            read = in.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }

    @Override
    public void close() throws IOException {
        for (Process process : mProcesses) {
            process.destroyForcibly();
        }
        for (Process process : mProcesses) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (AutoCloseable server : mServers) {
            try {
                server.close();
            } catch (Exception e) {
                record("a stand-in did not close: " + e);
            }
        }
        mRecord.close();
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + temp);
            return;
        }
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** Runs a case and ends the process with its result. */
    static void run(String folder, Case work) {
        int result = NOT_RUN;
        Site site = null;
        try {
            site = new Site(Path.of(folder));
            result = work.run(site);
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            if (site != null) {
                site.record("result " + result + " (0 held, 1 broken, 2 could not run)");
                try {
                    site.close();
                } catch (IOException e) {
                    e.printStackTrace();
                }
            }
        }
        System.exit(result);
    }

    /** One case. */
    interface Case {
        int run(Site site) throws Exception;
    }

    static String uniqueId() {
        return String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Waits for the end of a process; the platform kills it after the time. */
    void awaitEnd(Process process, long milliseconds) throws InterruptedException {
        if (!process.waitFor(milliseconds, TimeUnit.MILLISECONDS)) {
            process.destroyForcibly();
        }
    }

    static void message(Site site, String what, Message got) {
        site.record(what + ": " + (got == null ? "no answer" : "status " + got.status()));
    }
}
