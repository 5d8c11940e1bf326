package org.flamingochute.entry.peer;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/** Everything that a transport is built from. */
public final class PeerTransportSettings {
  private final String ownName;
  private final InetSocketAddress address;
  private final Optional<byte[]> secretContent;
  private final int maximumFrameBytes;
  private final Optional<PeerTls> tls;
  private final Duration silenceLimit;
  private final PeerMetrics metrics;

  private PeerTransportSettings(Builder builder) {
    ownName = builder.ownName;
    address = builder.address;
    secretContent = builder.secret;
    maximumFrameBytes = builder.maximumFrameBytes;
    tls = builder.tls;
    silenceLimit = builder.silenceLimit;
    metrics = new PeerMetrics(builder.registry);
  }

  /** Starts a set of settings. */
  public static Builder builder() {
    return new Builder();
  }

  String ownName() {
    return ownName;
  }

  InetSocketAddress address() {
    return address;
  }

  PeerSecret secret() {
    return secretContent.map(PeerSecret::of).orElseGet(PeerSecret::none);
  }

  /** Tells whether peers may be reached beyond the loopback interface. */
  boolean isProtected() {
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

  /** Returns the time without a heartbeat after which an opened connection is made anew. */
  Duration silenceLimit() {
    return silenceLimit;
  }

  PeerMetrics metrics() {
    return metrics;
  }

  /** Builds a set of settings. */
  public static final class Builder {
    private String ownName;
    private InetSocketAddress address;
    private Optional<byte[]> secret = Optional.empty();
    private int maximumFrameBytes = 4 << 20;
    private Optional<PeerTls> tls = Optional.empty();
    private Duration silenceLimit = Duration.ofSeconds(5);
    private MetricRegistry registry;

    private Builder() {}

    /** Sets the incarnation of this process. */
    public Builder ownName(String value) {
      ownName = value;
      return this;
    }

    /** Sets the address to listen on. */
    public Builder address(InetSocketAddress value) {
      address = value;
      return this;
    }

    /** Sets the secret that entries prove to each other; without it only loopback is allowed. */
    public Builder secret(Optional<byte[]> value) {
      secret = value;
      return this;
    }

    /** Sets the largest frame in bytes. */
    public Builder maximumFrameBytes(int value) {
      maximumFrameBytes = value;
      return this;
    }

    /** Sets the certificates for TLS; without them frames are sealed but readable. */
    public Builder tls(Optional<PeerTls> value) {
      tls = value;
      return this;
    }

    /**
     * Sets the time without a heartbeat of the other side after which an opened connection is made
     * anew; the heartbeats come five times as often.
     */
    public Builder silenceLimit(Duration value) {
      silenceLimit = value;
      return this;
    }

    /** Sets the registry that metrics are counted in. */
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
