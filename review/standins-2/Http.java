import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 as far as clients and replicas of a small site need it. */
final class Http {
    private Http() {}

    static final class Request {
        String method;
        String path;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    static final class Answer {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a line without its end; null at the end of the channel. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Request readRequest(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null || first.isEmpty()) {
            return null;
        }
        Request request = new Request();
        String[] words = first.split(" ");
        request.method = words[0];
        request.path = words[1];
        readHeaders(in, request.headers);
        request.body = readBody(in, request.headers, false);
        return request;
    }

    private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            line = readLine(in);
        }
        if (line == null) {
            throw new IOException("the channel ended in a head");
        }
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean toEnd)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new IOException("the channel ended in a body");
                }
                int bytes = Integer.parseInt(size.trim().split(";")[0], 16);
                body.writeBytes(exactly(in, bytes));
                readLine(in);
                if (bytes == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = headers.get("content-length");
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        return toEnd ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int bytes) throws IOException {
        byte[] read = in.readNBytes(bytes);
        if (read.length < bytes) {
            throw new IOException("the channel ended in a body");
        }
        return read;
    }

    static Answer readAnswer(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            throw new IOException("the channel ended without an answer");
        }
        Answer answer = new Answer();
        answer.status = Integer.parseInt(first.split(" ")[1]);
        readHeaders(in, answer.headers);
        answer.body = readBody(in, answer.headers, true);
        answer.complete = true;
        return answer;
    }

    static String head(String method, String path, Map<String, String> headers, int length) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        if (length > 0 || !method.equals("GET")) {
            head.append("Content-Length: " + length + "\r\n");
        }
        return head + "\r\n";
    }

    /** Sends one request on a new channel. */
    static Answer call(
            String ip,
            int port,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            int timeoutMilliseconds)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMilliseconds);
            socket.setTcpNoDelay(true);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            Map<String, String> all = new LinkedHashMap<>();
            all.put("Host", ip + ":" + port);
            all.putAll(headers);
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.writeBytes(
                    head(method, path, all, bytes.length).getBytes(StandardCharsets.ISO_8859_1));
            whole.writeBytes(bytes);
            socket.getOutputStream().write(whole.toByteArray());
            return readAnswer(new BufferedInputStream(socket.getInputStream()));
        }
    }
}
