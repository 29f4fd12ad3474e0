package org.skylarkbend.testing;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.cert.X509Certificate;
import java.util.Base64;
import java.util.Date;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** A certificate authority for tests with a generated in-memory key. */
public final class TestAuthority {
    private static final long DAY_MILLISECONDS = 24L * 3600 * 1000;
    private static final String ALGORITHM = "SHA256withECDSA";
    private static final int KEY_BITS = 256;

    private final X500Name mName;
    private final KeyPair mKeyPair;
    private final X509Certificate mCertificate;
    private long mSerial = 1;

    /** Creates an authority with this common name. */
    public TestAuthority(String name) {
        mName = new X500Name("CN=" + name);
        mKeyPair = newKeyPair();
        mCertificate = sign(mName, mKeyPair, true);
    }

    /** A certificate and its private key in PEM format. */
    public record IssuedCertificate(String certificatePem, String keyPem) {}

    /** Returns the certificate of the authority in PEM format. */
    public String certificatePem() {
        return pem("CERTIFICATE", encoded(mCertificate));
    }

    /** Generates a key and issues a certificate with this common name. */
    public IssuedCertificate issueCertificate(String name) {
        KeyPair keyPair = newKeyPair();
        X509Certificate certificate = sign(new X500Name("CN=" + name), keyPair, false);
        return new IssuedCertificate(
                pem("CERTIFICATE", encoded(certificate)),
                pem("PRIVATE KEY", keyPair.getPrivate().getEncoded()));
    }

    private X509Certificate sign(X500Name subject, KeyPair keyPair, boolean isAuthority) {
        long nowMilliseconds = System.currentTimeMillis();
        try {
            var builder =
                    new JcaX509v3CertificateBuilder(
                            mName,
                            BigInteger.valueOf(mSerial++),
                            new Date(nowMilliseconds - DAY_MILLISECONDS),
                            new Date(nowMilliseconds + DAY_MILLISECONDS),
                            subject,
                            keyPair.getPublic());
            builder.addExtension(
                    Extension.basicConstraints, true, new BasicConstraints(isAuthority));
            var signer = new JcaContentSignerBuilder(ALGORITHM).build(mKeyPair.getPrivate());
            return new JcaX509CertificateConverter().getCertificate(builder.build(signer));
        } catch (IOException | GeneralSecurityException | OperatorCreationException e) {
            throw new IllegalStateException("cannot create a test certificate", e);
        }
    }

    private static KeyPair newKeyPair() {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(KEY_BITS);
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform supports EC keys", e);
        }
    }

    private static byte[] encoded(X509Certificate certificate) {
        try {
            return certificate.getEncoded();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("cannot encode the certificate", e);
        }
    }

    private static String pem(String type, byte[] content) {
        StringWriter text = new StringWriter();
        text.write("-----BEGIN " + type + "-----\n");
        text.write(Base64.getMimeEncoder().encodeToString(content));
        text.write("\n-----END " + type + "-----\n");
        return text.toString();
    }
}
