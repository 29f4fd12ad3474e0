package org.skylarkbend.wire;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.ClientSSLOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.SSLOptions;
import io.vertx.core.net.ServerSSLOptions;
import java.util.Set;

/**
 * A certificate, its private key and the trusted authorities, all in PEM format.
 *
 * <p>TLS is mutual: both sides present a certificate of one of the authorities. The authorities are
 * dedicated to this system, so that any certificate they issued authorizes its holder. Host names
 * are not verified, because the IP addresses of VMs change.
 */
record TlsMaterial(String certificatePem, String keyPem, String authoritiesPem) {
    private static final Set<String> PROTOCOLS = Set.of("TLSv1.3");
    private static final String NO_HOSTNAME_VERIFICATION = "";

    ServerSSLOptions serverOptions() {
        ServerSSLOptions options = new ServerSSLOptions();
        applyTo(options);
        return options.setClientAuth(ClientAuth.REQUIRED);
    }

    ClientSSLOptions clientOptions() {
        ClientSSLOptions options = new ClientSSLOptions();
        applyTo(options);
        return options.setHostnameVerificationAlgorithm(NO_HOSTNAME_VERIFICATION);
    }

    private void applyTo(SSLOptions options) {
        options.setKeyCertOptions(
                new PemKeyCertOptions()
                        .addCertValue(Buffer.buffer(certificatePem))
                        .addKeyValue(Buffer.buffer(keyPem)));
        options.setTrustOptions(new PemTrustOptions().addCertValue(Buffer.buffer(authoritiesPem)));
        options.setEnabledSecureTransportProtocols(PROTOCOLS);
    }

    /** Omits the private key, so that it cannot be logged. */
    @Override
    public String toString() {
        return "TlsMaterial";
    }
}
