package org.flamingochute.entry.peer;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/** Settings of a {@link NettyPeerTransport}. */
public final class PeerTransportSettings {
  private final String localName;
  private final InetSocketAddress address;
  private final Optional<byte[]> secretContent;
  private final int maximumFrameBytes;
  private final Optional<PeerTls> tls;
  private final Duration keepAliveTimeout;
  private final PeerMetrics metrics;

  private PeerTransportSettings(Builder builder) {
    localName = builder.localName;
    address = builder.address;
    secretContent = builder.secret;
    maximumFrameBytes = builder.maximumFrameBytes;
    tls = builder.tls;
    keepAliveTimeout = builder.keepAliveTimeout;
    metrics = new PeerMetrics(builder.registry);
  }

  /** Returns a builder; name, address and registry have no default and must be set. */
  public static Builder builder() {
    return new Builder();
  }

  String localName() {
    return localName;
  }

  InetSocketAddress address() {
    return address;
  }

  PeerSecret secret() {
    return secretContent.map(PeerSecret::of).orElseGet(PeerSecret::none);
  }

  /** Returns whether there is a secret, which allows peers beyond the loopback interface. */
  boolean hasSecret() {
    return secretContent.isPresent();
  }

  int maximumFrameBytes() {
    return maximumFrameBytes;
  }

  Optional<SslContext> serverTls() {
    return tls.map(PeerTls::server);
  }

  Optional<SslContext> clientTls() {
    return tls.map(PeerTls::client);
  }

  /** Returns the time without a keep-alive frame after which an outgoing connection is closed. */
  Duration keepAliveTimeout() {
    return keepAliveTimeout;
  }

  PeerMetrics metrics() {
    return metrics;
  }

  /** Builds settings. */
  public static final class Builder {
    private String localName;
    private InetSocketAddress address;
    private Optional<byte[]> secret = Optional.empty();
    private int maximumFrameBytes = 4 << 20;
    private Optional<PeerTls> tls = Optional.empty();
    private Duration keepAliveTimeout = Duration.ofSeconds(5);
    private MetricRegistry registry;

    private Builder() {}

    /** Sets the name of this process in the handshake, its incarnation. */
    public Builder localName(String value) {
      localName = value;
      return this;
    }

    /** Sets the address to listen on. */
    public Builder address(InetSocketAddress value) {
      address = value;
      return this;
    }

    /** Sets the secret shared by all entries; without it, only loopback peers receive frames. */
    public Builder secret(Optional<byte[]> value) {
      secret = value;
      return this;
    }

    /** Sets the maximum frame size in bytes. */
    public Builder maximumFrameBytes(int value) {
      maximumFrameBytes = value;
      return this;
    }

    /** Sets the TLS contexts; without them frames are authenticated but not encrypted. */
    public Builder tls(Optional<PeerTls> value) {
      tls = value;
      return this;
    }

    /**
     * Sets the time without a keep-alive frame from the other side after which an outgoing
     * connection is closed, to be reopened for the next frame. Keep-alive frames are sent five
     * times in this period.
     */
    public Builder keepAliveTimeout(Duration value) {
      keepAliveTimeout = value;
      return this;
    }

    /** Sets the registry of the metrics. */
    public Builder registry(MetricRegistry value) {
      registry = value;
      return this;
    }

    /** Returns the settings. */
    public PeerTransportSettings build() {
      return new PeerTransportSettings(this);
    }
  }
}
