package org.flamingochute.entry.peer;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.ByteArrayInputStream;
import javax.net.ssl.SSLException;

/**
 * Mutual TLS with the TLS provider of the Java platform.
 *
 * <p>Peers are verified against the trusted certificate but not against a host name: addresses are
 * numeric and change whenever an instance is replaced, and the handshake additionally proves the
 * secret.
 *
 * @param server context for accepted connections
 * @param client context for opened connections
 */
public record PeerTls(SslContext server, SslContext client) {

  /**
   * Creates the contexts from PEM files.
   *
   * @param certificate certificate of this entry
   * @param privateKey private key of the certificate in PKCS 8 format
   * @param trusted certificate of the authority that signed the peers' certificates
   * @throws SSLException if the files are invalid or do not match
   */
  public static PeerTls of(byte[] certificate, byte[] privateKey, byte[] trusted)
      throws SSLException {
    try {
      SslContext server =
          SslContextBuilder.forServer(stream(certificate), stream(privateKey))
              .sslProvider(SslProvider.JDK)
              .trustManager(stream(trusted))
              .clientAuth(ClientAuth.REQUIRE)
              .build();
      SslContext client =
          SslContextBuilder.forClient()
              .sslProvider(SslProvider.JDK)
              .keyManager(stream(certificate), stream(privateKey))
              .trustManager(stream(trusted))
              .endpointIdentificationAlgorithm(null)
              .build();
      return new PeerTls(server, client);
    } catch (IllegalArgumentException e) {
      throw new SSLException(e.getMessage(), e);
    }
  }

  private static ByteArrayInputStream stream(byte[] content) {
    return new ByteArrayInputStream(content);
  }
}
