import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests of legal size with many short header lines on kept channels, without waiting
 * for the answer to the request before. The gateway's process must not end.
 */
final class ManyLines {
    private static final int CHANNELS = 60;
    private static final int REQUESTS_PER_CHANNEL = 300;
    private static final int LINES = 180;

    /** What the clients together send at most: less than half of the 1,000 Mbit/s of the link. */
    private static final long BYTES_PER_MILLISECOND = 50_000;

    private static final int PIECE_BYTES = 65_536;
    private static final int ROUNDS = 3;
    private static final int MAX_ROUNDS = 5;
    private static final long ROUND_MILLISECONDS = 6_000;
    private static final int CALM_REQUESTS = 20;

    private ManyLines() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Site site = new Site(Path.of(arguments[0]))) {
            status = run(site, trouble);
            site.record("exit " + status);
        } catch (Throwable e) {
            // Also an Error of this driver must not look like a broken rule.
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        int port = Site.freePort();
        AtomicInteger ran = new AtomicInteger();
        for (int i = 0; i < 3; i++) {
            String id = "i-7f3a91c" + i;
            Site.Replica replica =
                    site.new Replica(
                            "127.0.0." + (31 + i),
                            port,
                            (request, channel) -> {
                                if (!Sample.serveProbe(request, channel, id)) {
                                    ran.incrementAndGet();
                                    Thread.sleep(20);
                                    channel.answer(200, Sample.sealed(request), "done");
                                }
                            });
            replica.start();
            site.list(id, "order-hub", replica.address(), "thies-nord", 6, "");
        }
        site.start(3, 2, Sample.orders(1));
        int broken = 0;
        for (Site.Machine front : site.fronts) {
            int rounds = trouble ? MAX_ROUNDS : ROUNDS;
            for (int round = 1; round <= rounds && front.ends < ROUNDS; round++) {
                playRound(site, front, round, trouble);
                site.record("requests that replicas have run so far: " + ran);
            }
            site.record(front.node + ": its process ended by itself " + front.ends + " times");
            broken += front.ends >= ROUNDS ? 1 : 0;
        }
        System.out.println("gateways whose process ended by itself three times: " + broken + " of 2");
        return broken == 2 ? 1 : 0;
    }

    private static void playRound(Site site, Site.Machine front, int round, boolean trouble) throws Exception {
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        Thread ordinary = new Thread(() -> ordinaryCalls(site, front, round, over, answered, failed));
        ordinary.start();
        if (trouble) {
            sendWithoutWaiting(site, front, round);
        } else {
            sendOneByOne(site, front, round);
        }
        over.set(true);
        ordinary.join();
        site.record(
                "round " + round + " at " + front.node + ": ordinary requests answered with 200: " + answered
                        + ", others: " + failed);
        if (!front.runs()) {
            Thread.sleep(300);
            front.start();
            site.awaitReady(front, 20_000);
        }
    }

    private static byte[] request(String id) {
        Map<String, String> headers = Sample.headers(id, 1_000);
        String head = Http.head("GET", "/stock/" + id, headers, 0);
        return head.replaceFirst("\r\n\r\n$", "\r\n" + "a:1\r\n".repeat(LINES) + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends the requests of all channels, piece by piece in turn, and reads no answer before. */
    private static void sendWithoutWaiting(Site site, Site.Machine front, int round) throws Exception {
        int ends = front.ends;
        List<SocketChannel> channels = new ArrayList<>();
        List<ByteBuffer> left = new ArrayList<>();
        long sent = 0;
        int headBytes = 0;
        try {
            for (int i = 0; i < CHANNELS; i++) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                for (int k = 0; k < REQUESTS_PER_CHANNEL; k++) {
                    byte[] head = request("r" + round + "-" + i + "-" + k);
                    headBytes = Math.max(headBytes, head.length);
                    all.writeBytes(head);
                }
                left.add(ByteBuffer.wrap(all.toByteArray()));
                SocketChannel channel = SocketChannel.open(new InetSocketAddress(front.ip, site.frontPort));
                channel.configureBlocking(false);
                channels.add(channel);
            }
            long began = System.currentTimeMillis();
            while (System.currentTimeMillis() < began + ROUND_MILLISECONDS && front.ends == ends) {
                boolean wrote = false;
                for (int i = 0; i < CHANNELS && front.ends == ends; i++) {
                    while (sent > (System.currentTimeMillis() - began) * BYTES_PER_MILLISECOND) {
                        Thread.sleep(1);
                    }
                    ByteBuffer rest = left.get(i);
                    ByteBuffer piece = rest.slice(rest.position(), Math.min(PIECE_BYTES, rest.remaining()));
                    int written = piece.hasRemaining() ? channels.get(i).write(piece) : 0;
                    rest.position(rest.position() + written);
                    sent += written;
                    wrote |= written > 0;
                }
                if (!wrote) {
                    Thread.sleep(5);
                }
            }
        } catch (IOException e) {
            site.record("client: " + e);
        }
        Thread.sleep(300);
        site.record(
                "round " + round + " at " + front.node + ": " + CHANNELS + " channels, " + sent
                        + " bytes sent, heads of " + headBytes + " bytes at most with " + LINES
                        + " short lines each; the process " + (front.ends > ends ? "HAS ENDED" : "runs"));
        for (SocketChannel channel : channels) {
            channel.close();
        }
    }

    /** Without the disruption: the same requests on as many channels, each after the answer before. */
    private static void sendOneByOne(Site site, Site.Machine front, int round) throws Exception {
        AtomicInteger served = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CHANNELS; i++) {
            int number = i;
            Thread client =
                    new Thread(
                            () -> {
                                try (Socket socket = new Socket()) {
                                    socket.connect(new InetSocketAddress(front.ip, site.frontPort), 1_000);
                                    socket.setSoTimeout(2_000);
                                    InputStream in = new BufferedInputStream(socket.getInputStream());
                                    for (int k = 0; k < CALM_REQUESTS; k++) {
                                        socket.getOutputStream()
                                                .write(request("r" + round + "-" + number + "-" + k));
                                        int status = Http.readAnswer(in).status;
                                        (status == 200 ? served : others).incrementAndGet();
                                    }
                                } catch (IOException e) {
                                    others.incrementAndGet();
                                }
                            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        site.record(
                "round " + round + " at " + front.node + ": one by one on " + CHANNELS + " channels, answered with 200: "
                        + served + ", others: " + others);
    }

    private static void ordinaryCalls(
            Site site, Site.Machine front, int round, AtomicBoolean over, AtomicInteger answered, AtomicInteger failed) {
        for (int i = 0; !over.get(); i++) {
            String id = "o" + round + "-" + i;
            String outcome;
            try {
                outcome =
                        Integer.toString(
                                Http.call(
                                                front.ip,
                                                site.frontPort,
                                                "GET",
                                                "/stock/" + id,
                                                Sample.headers(id, 1_000),
                                                "",
                                                1_000)
                                        .status);
            } catch (IOException e) {
                outcome = String.valueOf(e.getMessage());
            }
            (outcome.equals("200") ? answered : failed).incrementAndGet();
            site.record("ordinary request " + id + " at " + front.node + " -> " + outcome);
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
