import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** The operator's config is damaged: a byte of a tenant's key is one that no UTF-8 text has. */
final class DamagedConfig {
    private static final int ATTEMPTS = 3;

    private DamagedConfig() {}

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
        for (int i = 0; i < 3; i++) {
            String id = "i-7f3a91c" + i;
            Site.Replica replica =
                    site.new Replica(
                            "127.0.0." + (31 + i),
                            port,
                            (request, channel) -> {
                                if (!Sample.serveProbe(request, channel, id)) {
                                    site.record(id + " runs " + request.header("skylarkbend-request-id"));
                                    channel.answer(200, Sample.sealed(request), "done");
                                }
                            });
            replica.start();
            site.list(id, "order-hub", replica.address(), "thies-nord", 6, "");
        }
        site.start(3, 1, Sample.orders(1));
        Site.Machine front = site.fronts.get(0);
        site.record("request before: " + statusOf(site, front, "before"));

        byte[] sent = Sample.orders(2).getBytes(StandardCharsets.UTF_8);
        if (trouble) {
            int at = new String(sent, StandardCharsets.ISO_8859_1).indexOf(Site.KEY) + 4;
            sent[at] = (byte) 0xff;
        }
        int status = put(site, sent);
        site.record("PUT of " + (trouble ? "the damaged config" : "the config") + ", version 2 -> " + status);
        Thread.sleep(2_500);
        Http.Answer read = site.operator("GET", "/api/config", "", 10_000);
        boolean isInForce = read.text().contains("\"Version\":2");
        boolean isAsSent = Arrays.equals(read.body, sent);
        int after = statusOf(site, front, "after");
        site.record("read back: version 2 " + isInForce + ", the bytes that were sent " + isAsSent);
        site.record("request with the tenant's key after: " + after);
        boolean broken =
                trouble
                        ? status == 200 || isInForce
                        : status != 200 || !isInForce || !isAsSent || after != 200;
        System.out.println(
                "acknowledged with " + status + ", in force " + isInForce + ", read back as sent " + isAsSent
                        + ", request of the tenant before 200, after " + after);
        return broken ? 1 : 0;
    }

    private static int statusOf(Site site, Site.Machine front, String id) throws Exception {
        return Http.call(
                        front.ip,
                        site.frontPort,
                        "GET",
                        "/stock/" + id,
                        Sample.headers("c-" + id, 1_000),
                        "",
                        2_000)
                .status;
    }

    /** Sends the config until there is a clear answer; follows redirections. */
    private static int put(Site site, byte[] body) throws Exception {
        for (int attempt = 0; attempt < 10 * ATTEMPTS; attempt++) {
            String ip = site.cores.get(attempt % site.cores.size()).ip;
            for (int redirects = 0; redirects < ATTEMPTS; redirects++) {
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress(ip, site.controlPort), 1_000);
                    socket.setSoTimeout(1_000);
                    Map<String, String> headers = new LinkedHashMap<>();
                    headers.put("Host", ip + ":" + site.controlPort);
                    headers.put("Content-Type", "application/json");
                    ByteArrayOutputStream whole = new ByteArrayOutputStream();
                    whole.writeBytes(
                            Http.head("PUT", "/api/config", headers, body.length)
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    whole.writeBytes(body);
                    socket.getOutputStream().write(whole.toByteArray());
                    Http.Answer answer = Http.readAnswer(new BufferedInputStream(socket.getInputStream()));
                    if (answer.status == 307) {
                        ip = java.net.URI.create(answer.header("location")).getHost();
                    } else if (answer.status < 500) {
                        return answer.status;
                    } else {
                        break;
                    }
                }
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("no clear answer to the config");
    }
}
