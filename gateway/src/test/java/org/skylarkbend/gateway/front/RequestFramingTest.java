package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.CapturingEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.testing.RawClient;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an endpoint receives what a caller sent as one request, or nothing. */
public class RequestFramingTest extends GatewayFixture {
    private static final String HEAD = head("/x/y", "c1");
    private static final String EMPTY_CHUNKS = "0\r\n\r\n";
    private static final String SMUGGLED = head("/x/smuggled", "c2") + "Content-Length: 0\r\n\r\n";

    private CapturingEndpoint mEndpoint;

    /** A request that is not valid, in front of a valid one. */
    private record Malformed(String name, String request) {
        @Override
        public String toString() {
            return name;
        }
    }

    @BeforeMethod
    public void publishEndpoint() throws Exception {
        mEndpoint = new CapturingEndpoint();
        await(mEndpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false), mEndpoint.listed());
        assertThat(call("first").status()).isEqualTo(200);
        mEndpoint.requests().clear();
    }

    @DataProvider
    private Object[] requestsOfUnclearLength() {
        String chunked = "Transfer-Encoding: chunked\r\n";
        return new Object[] {
            new Malformed(
                    "a length and chunks",
                    HEAD + "Content-Length: 5\r\n" + chunked + "\r\n" + EMPTY_CHUNKS),
            new Malformed(
                    "chunks and a length",
                    HEAD + chunked + "Content-Length: 5\r\n\r\n" + EMPTY_CHUNKS),
            new Malformed(
                    "two lengths", HEAD + "Content-Length: 0\r\nContent-Length: 4\r\n\r\nbody"),
            new Malformed("a list of lengths", HEAD + "Content-Length: 0, 4\r\n\r\nbody"),
            new Malformed("a negative length", HEAD + "Content-Length: -1\r\n\r\n"),
            new Malformed("a length with a sign", HEAD + "Content-Length: +4\r\n\r\nbody"),
            new Malformed("a length in hex", HEAD + "Content-Length: 0x4\r\n\r\nbody"),
            new Malformed(
                    "a length beyond all numbers",
                    HEAD + "Content-Length: 99999999999999999999\r\n\r\n"),
            new Malformed(
                    "an unknown coding", HEAD + "Transfer-Encoding: x\r\n\r\n" + EMPTY_CHUNKS),
            new Malformed(
                    "a coding after the chunks",
                    HEAD + "Transfer-Encoding: chunked, identity\r\n\r\n" + EMPTY_CHUNKS),
            new Malformed("chunks twice", HEAD + chunked + chunked + "\r\n" + EMPTY_CHUNKS),
            new Malformed(
                    "chunks in an old version",
                    HEAD.replace("HTTP/1.1", "HTTP/1.0") + chunked + "\r\n" + EMPTY_CHUNKS),
            new Malformed(
                    "a space in front of a colon",
                    HEAD + "Transfer-Encoding : chunked\r\n\r\n" + EMPTY_CHUNKS),
            new Malformed("bare line feeds", HEAD.replace("\r\n", "\n") + "\n"),
            new Malformed("a bare line feed", HEAD + "X: y\nContent-Length: 4\r\n\r\nbody"),
            new Malformed("a bare carriage return", HEAD + "X: y\rContent-Length: 4\r\n\r\n"),
            new Malformed("a header without a name", HEAD + ": y\r\n\r\n"),
            new Malformed(
                    "a space in front of the first header", HEAD.replace("Host", " Host") + "\r\n"),
            new Malformed("a zero byte in a name", HEAD + "X\0: y\r\n\r\n"),
            new Malformed("a zero byte in a value", HEAD + "X: y\0z\r\n\r\n")
        };
    }

    /** Guards against a second request that no caller sent, or that another one pays for. */
    @Test(dataProvider = "requestsOfUnclearLength")
    public void aRequestOfUnclearLengthIsRefusedAndItsConnectionIsClosed(Malformed malformed)
            throws Exception {
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        await(caller.send(malformed.request() + SMUGGLED));
        awaitUntil(caller::isClosed);
        assertThat(mEndpoint.requests()).isEmpty();
        assertThat(caller.received()).matches("(?s)HTTP/1\\.[01] [45]\\d\\d .*");
    }

    @DataProvider
    private Object[] brokenChunks() {
        return new Object[] {
            new Malformed("no number", "zz\r\n"),
            new Malformed("a negative size", "-1\r\n"),
            new Malformed("a size beyond all numbers", "ffffffffffffffffff\r\n"),
            new Malformed("an empty size", "\r\n"),
            new Malformed("more bytes than the size", "4\r\nbodymore\r\n" + EMPTY_CHUNKS),
            new Malformed("a bare line feed", "4\nbody\r\n" + EMPTY_CHUNKS),
            new Malformed("a bare line feed behind it", "4\r\nbody\n" + EMPTY_CHUNKS),
            new Malformed("a line feed in an extension", "4;a=\nb\r\nbody\r\n" + EMPTY_CHUNKS),
            new Malformed("a broken trailer", "0\r\n: y\r\n\r\n")
        };
    }

    @Test(dataProvider = "brokenChunks")
    public void aBodyOfBrokenChunksReachesNoEndpointAndItsConnectionIsClosed(Malformed malformed)
            throws Exception {
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        await(
                caller.send(
                        HEAD
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + malformed.request()
                                + SMUGGLED));
        awaitUntil(caller::isClosed);
        assertThat(mEndpoint.requests()).isEmpty();
        assertThat(caller.received()).isEmpty();
    }

    @Test
    public void aRequestThatIsCutAtAnyByteReachesNoEndpoint() throws Exception {
        String length = HEAD + "Content-Length: 4\r\n\r\nbody";
        String chunks =
                HEAD + "Transfer-Encoding: chunked\r\n\r\n4;e=1\r\nbody\r\n0\r\nT: 1\r\n\r\n";
        for (String request : new String[] {length, chunks}) {
            for (int cut = 1; cut < request.length(); cut++) {
                RawClient caller = await(RawClient.connect(mVertx, mPort));
                await(caller.send(request.substring(0, cut)));
                await(caller.close());
            }
        }
        assertThat(call("whole").status()).isEqualTo(200);
        assertThat(mEndpoint.requests()).hasSize(1);
        assertThat(mEndpoint.requests().get(0)).contains("whole").endsWith("\r\n\r\nbody");
    }

    /** Guards against a rest of one request that becomes part of the next. */
    @Test
    public void requestsInOneStreamOfBytesStayApart() throws Exception {
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        String[] bodies = {"body", "", "GET /x/in-a-body HTTP/1.1\r\nHost: a.example\r\n\r\n"};
        StringBuilder bytes = new StringBuilder();
        for (String body : bodies) {
            bytes.append(head("/x/sized", "c1")).append("Content-Length: ");
            bytes.append(body.length()).append("\r\n\r\n").append(body);
            bytes.append(head("/x/chunked", "c1")).append("Transfer-Encoding: chunked\r\n\r\n");
            if (!body.isEmpty()) {
                bytes.append(Integer.toHexString(body.length())).append(";e=\"1\"\r\n");
                bytes.append(body).append("\r\n");
            }
            bytes.append("0\r\nContent-Length: 7\r\n\r\n");
        }
        await(caller.send(bytes.toString()));
        awaitUntil(() -> caller.received().split("done", -1).length == 2 * bodies.length + 1);
        assertThat(mEndpoint.requests()).hasSize(2 * bodies.length);
        for (int i = 0; i < mEndpoint.requests().size(); i++) {
            String request = mEndpoint.requests().get(i);
            assertThat(request).startsWith(i % 2 == 0 ? "POST /x/sized " : "POST /x/chunked ");
            assertThat(request).endsWith("\r\n\r\n" + bodies[i / 2]);
            assertThat(request.toLowerCase()).doesNotContain("transfer-encoding");
            String length = "\r\ncontent-length: " + bodies[i / 2].length() + "\r\n";
            assertThat(request.toLowerCase().split("\r\ncontent-length:", -1)).hasSize(2);
            assertThat(request).containsIgnoringCase(length);
        }
    }

    @Test
    public void bytesBehindABodyThatAreNoRequestCloseTheConnection() throws Exception {
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        await(caller.send(HEAD + "Content-Length: 4\r\n\r\nbodymore bytes\r\n\r\n" + SMUGGLED));
        awaitUntil(caller::isClosed);
        assertThat(mEndpoint.requests()).hasSize(1);
        assertThat(mEndpoint.requests().get(0)).endsWith("\r\n\r\nbody");
    }

    @Test
    public void aFoldedHeaderReachesAnEndpointAsOneLine() throws Exception {
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        await(caller.send(HEAD + "X-Long: one\r\n two\r\nContent-Length: 4\r\n\r\nbody"));
        awaitUntil(() -> caller.received().contains("done"));
        assertThat(mEndpoint.requests()).hasSize(1);
        assertThat(mEndpoint.requests().get(0)).containsIgnoringCase("\r\nx-long: one two\r\n");
    }

    private static String head(String path, String id) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer secret\r\nCall-Id: "
                + id
                + "\r\n";
    }
}
