package org.flamingochute.entry.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Metrics of the peer connections. */
final class PeerMetrics {
  private final Counter sent;
  private final Counter received;
  private final Counter dropped;
  private final Counter misdirected;
  private final Counter malformed;
  private final Counter handshakeFailures;
  private final Counter connectFailures;
  private final Counter refusedConnections;
  private final Counter listenerFailures;

  PeerMetrics(MetricRegistry registry) {
    sent = registry.counter("peer.frames_sent");
    received = registry.counter("peer.frames_received");
    dropped = registry.counter("peer.frames_dropped");
    misdirected = registry.counter("peer.frames_misdirected");
    malformed = registry.counter("peer.malformed_frames");
    handshakeFailures = registry.counter("peer.handshake_failures");
    connectFailures = registry.counter("peer.connect_failures");
    refusedConnections = registry.counter("peer.refused_connections");
    listenerFailures = registry.counter("peer.frame_failures");
  }

  /**
   * Returns the counter of frames written to a connection, without handshake and keep-alive frames.
   */
  Counter sent() {
    return sent;
  }

  /** Returns the counter of frames passed to the listener. */
  Counter received() {
    return received;
  }

  /**
   * Returns the counter of frames that were not sent because of their size, their address, a full
   * queue or a failed connection.
   */
  Counter dropped() {
    return dropped;
  }

  /** Returns the counter of frames with a wrong receiver or sender. */
  Counter misdirected() {
    return misdirected;
  }

  /** Returns the counter of frames that violated the protocol. */
  Counter malformed() {
    return malformed;
  }

  /** Returns the counter of handshakes that failed or timed out. */
  Counter handshakeFailures() {
    return handshakeFailures;
  }

  /** Returns the counter of failed connection attempts. */
  Counter connectFailures() {
    return connectFailures;
  }

  /** Returns the counter of incoming connections refused because of the limit. */
  Counter refusedConnections() {
    return refusedConnections;
  }

  /** Returns the counter of frames for which the listener threw an exception. */
  Counter listenerFailures() {
    return listenerFailures;
  }
}
