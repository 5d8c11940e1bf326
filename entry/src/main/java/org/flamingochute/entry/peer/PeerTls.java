package org.flamingochute.entry.peer;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.ByteArrayInputStream;
import javax.net.ssl.SSLException;

/**
 * Mutual TLS by the Java platform's own provider.
 *
 * <p>Peers are checked against the trusted certificate, not against a host name: addresses are
 * numbers that change with every replaced instance, and the handshake proves the secret besides.
 *
 * @param server context of accepted connections
 * @param client context of opened connections
 */
public record PeerTls(SslContext server, SslContext client) {

  /**
   * Creates the contexts from PEM texts.
   *
   * @param certificate certificate of this entry
   * @param privateKey private key in PKCS 8 form that belongs to it
   * @param trusted certificate that the peers' certificates must be signed by
   * @throws SSLException when the texts do not fit together
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
