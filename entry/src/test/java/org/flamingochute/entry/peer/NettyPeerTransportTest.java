package org.flamingochute.entry.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.flamingochute.schema.ImageResponse;
import org.flamingochute.schema.PeerFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests transports that exchange frames over loopback: authentication, reconnection, keep-alive
 * frames and rejected frames.
 */
class NettyPeerTransportTest {
  private static final int FRAME_LIMIT = 1 << 20;
  private static final int ATTEMPTS = 100;

  /** Sequence of a frame that no attempt of {@link #sendUntilReceived} has used. */
  private static final long UNUSED_SEQUENCE = ATTEMPTS + 1;

  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofMillis(2000);
  private static final byte[] SECRET = "s".getBytes(StandardCharsets.UTF_8);

  private final List<NettyPeerTransport> transports = new ArrayList<>();
  private final MetricRegistry registry = new MetricRegistry();
  private final BlockingQueue<PeerFrame> received = new LinkedBlockingQueue<>();

  @AfterEach
  void close() {
    transports.forEach(NettyPeerTransport::close);
  }

  private NettyPeerTransport createTransport(
      String name, int port, String secret, String certificate) throws IOException {
    Optional<PeerTls> tls = Optional.empty();
    if (certificate != null) {
      tls =
          Optional.of(
              PeerTls.of(
                  readResource(certificate + ".pem"),
                  readResource(certificate + "-key.pem"),
                  readResource("authority.pem")));
    }
    NettyPeerTransport transport =
        new NettyPeerTransport(
            PeerTransportSettings.builder()
                .localName(name)
                .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .secret(Optional.ofNullable(secret).map(s -> s.getBytes(StandardCharsets.UTF_8)))
                .maximumFrameBytes(FRAME_LIMIT)
                .tls(tls)
                .keepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                .registry(registry)
                .build());
    transports.add(transport);
    transport.setFrameListener(received::add);
    return transport;
  }

  private static byte[] readResource(String name) throws IOException {
    try (InputStream stream = NettyPeerTransportTest.class.getResourceAsStream("/tls/" + name)) {
      return stream.readAllBytes();
    }
  }

  /** Sends frames until one is received, since single frames may be lost. */
  private PeerFrame sendUntilReceived(NettyPeerTransport from, String to, int attempts)
      throws InterruptedException {
    for (int i = 0; i < attempts; i++) {
      from.send(to, RawPeer.gossip("a-1", "b-1", i + 1));
      PeerFrame frame = received.poll(100, TimeUnit.MILLISECONDS);
      if (frame != null) {
        return frame;
      }
    }
    return null;
  }

  /**
   * Returns the next frame that is not a repetition by {@link #sendUntilReceived}. That method
   * sends a frame again while the connection is being opened, so more than one copy may arrive, the
   * later ones after it has returned.
   */
  private PeerFrame receiveAfterRepetitions() throws InterruptedException {
    PeerFrame frame = received.poll(5, TimeUnit.SECONDS);
    while (frame != null && frame.hasGossip() && frame.getGossip().getSequence() <= ATTEMPTS) {
      frame = received.poll(5, TimeUnit.SECONDS);
    }
    return frame;
  }

  private static String formatAddress(InetSocketAddress address) {
    return "127.0.0.1:" + address.getPort();
  }

  static Stream<Arguments> authenticationCases() {
    return Stream.of(
        arguments("no secret", null, null, null, null, true),
        arguments("same secret", "s", "s", null, null, true),
        arguments("other secret", "s", "t", null, null, false),
        arguments("one secret", "s", null, null, null, false),
        arguments("TLS", "s", "s", "member", "member", true),
        arguments("TLS without secret", null, null, "member", "member", true),
        arguments("TLS with other secret", "s", "t", "member", "member", false),
        arguments("untrusted client", "s", "s", "stranger", "member", false),
        arguments("untrusted server", "s", "s", "member", "stranger", false),
        arguments("TLS towards plain", "s", "s", "member", null, false),
        arguments("plain towards TLS", "s", "s", null, "member", false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("authenticationCases")
  void framesAreReceivedOnlyBetweenAuthenticatedPeers(
      String name,
      String ownSecret,
      String otherSecret,
      String ownCertificate,
      String otherCertificate,
      boolean isReceived)
      throws Exception {
    NettyPeerTransport from = createTransport("a-1", 0, ownSecret, ownCertificate);
    NettyPeerTransport to = createTransport("b-1", 0, otherSecret, otherCertificate);
    String address = formatAddress(to.listen());
    PeerFrame frame = sendUntilReceived(from, address, isReceived ? ATTEMPTS : 5);
    assertThat(frame, isReceived ? notNullValue() : nullValue());
  }

  @Test
  void connectionIsReopenedAfterPeerIsReplaced() throws Exception {
    NettyPeerTransport from = createTransport("a-1", 0, "s", null);
    NettyPeerTransport first = createTransport("b-1", 0, "s", null);
    InetSocketAddress address = first.listen();
    assertThat(sendUntilReceived(from, formatAddress(address), ATTEMPTS), notNullValue());
    first.close();
    // The closed transport receives nothing more; frames still queued here are repetitions.
    received.clear();
    Counter failures = registry.counter("peer.connect_failures");
    for (int i = 0; i < ATTEMPTS && failures.getCount() == 0; i++) {
      assertThat(sendUntilReceived(from, formatAddress(address), 1), nullValue());
    }
    assertThat(failures.getCount(), greaterThan(0L));
    assertThat(registry.counter("peer.frames_dropped").getCount(), greaterThan(0L));
    createTransport("b-1", address.getPort(), "s", null).listen();
    assertThat(sendUntilReceived(from, formatAddress(address), ATTEMPTS), notNullValue());
  }

  @Test
  void largeFramesArriveInOrder() throws Exception {
    NettyPeerTransport from = createTransport("a-1", 0, "s", null);
    NettyPeerTransport to = createTransport("b-1", 0, "s", null);
    String address = formatAddress(to.listen());
    assertThat(sendUntilReceived(from, address, ATTEMPTS), notNullValue());
    received.clear();
    byte[] image = new byte[FRAME_LIMIT / 2];
    for (long offset = 0; offset < 3; offset++) {
      from.send(
          address,
          PeerFrame.newBuilder()
              .setSender("a-1")
              .setReceiver("b-1")
              .setImageResponse(
                  ImageResponse.newBuilder().setOffset(offset).setImage(ByteString.copyFrom(image)))
              .build());
    }
    for (long offset = 0; offset < 3; offset++) {
      PeerFrame frame = receiveAfterRepetitions();
      assertThat(frame.getImageResponse().getOffset(), equalTo(offset));
    }
  }

  @Test
  void connectionWithoutKeepAlivesIsReopened() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      NettyPeerTransport from = createTransport("a-1", 0, "s", null);
      String address = "127.0.0.1:" + server.getLocalPort();
      from.send(address, RawPeer.gossip("a-1", "b-1", 1));
      try (RawPeer silent = new RawPeer(server.accept(), PeerSecret.of(SECRET))) {
        silent.acceptHandshake();
        assertThat(silent.isClosedByRemote(), is(true));
      }
      acceptReconnection(server, from, address);
    }
  }

  /** Sends frames until a new connection is opened; frames queued on the old one are lost. */
  private static void acceptReconnection(
      ServerSocket server, NettyPeerTransport from, String address) throws IOException {
    server.setSoTimeout(100);
    for (int i = 0; i < ATTEMPTS; i++) {
      from.send(address, RawPeer.gossip("a-1", "b-1", i + 2));
      try {
        server.accept().close();
        return;
      } catch (SocketTimeoutException e) {
        // No connection yet.
      }
    }
    throw new AssertionError("the connection was not reopened");
  }

  @Test
  void keepAlivesPreventIdleTimeout() throws Exception {
    NettyPeerTransport from = createTransport("a-1", 0, "s", null);
    NettyPeerTransport to = createTransport("b-1", 0, "s", null);
    String address = formatAddress(to.listen());
    assertThat(sendUntilReceived(from, address, ATTEMPTS), notNullValue());
    received.clear();
    Thread.sleep(KEEP_ALIVE_TIMEOUT.toMillis() * 3 / 2);
    from.send(address, RawPeer.gossip("a-1", "b-1", UNUSED_SEQUENCE));
    PeerFrame frame = receiveAfterRepetitions();
    assertThat(frame.getGossip().getSequence(), equalTo(UNUSED_SEQUENCE));
    assertThat(registry.counter("peer.frames_dropped").getCount(), equalTo(0L));
  }

  static Stream<Arguments> invalidReverseFrames() {
    byte[] gossip = RawPeer.gossip(RawPeer.NAME, "a-1", 1).toByteArray();
    return Stream.of(arguments("frame with a body", gossip), arguments("large", new byte[1500]));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("invalidReverseFrames")
  void connectionReceivingOtherThanKeepAlivesIsClosed(String name, byte[] frame) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      NettyPeerTransport from = createTransport("a-1", 0, "s", null);
      from.send("127.0.0.1:" + server.getLocalPort(), RawPeer.gossip("a-1", "b-1", 1));
      try (RawPeer peer = new RawPeer(server.accept(), PeerSecret.of(SECRET))) {
        peer.acceptHandshake();
        peer.writeAuthenticated(frame);
        assertThat(peer.isClosedByRemote(), is(true));
      }
      assertThat(registry.counter("peer.malformed_frames").getCount(), equalTo(1L));
    }
  }

  static Stream<Arguments> rejectedFrames() {
    byte[] large = new byte[FRAME_LIMIT];
    PeerFrame small = RawPeer.gossip("a-1", "", 1);
    PeerFrame oversize =
        PeerFrame.newBuilder()
            .setImageResponse(ImageResponse.newBuilder().setImage(ByteString.copyFrom(large)))
            .build();
    return Stream.of(
        arguments("10.1.2.3:4000", small),
        arguments("localhost:4000", small),
        arguments("", small),
        arguments("127.0.0.1:4000", oversize));
  }

  @ParameterizedTest
  @MethodSource("rejectedFrames")
  void rejectedFrameIsDroppedAndCounted(String address, PeerFrame frame) throws Exception {
    createTransport("a-1", 0, null, null).send(address, frame);
    assertThat(registry.counter("peer.frames_dropped").getCount(), equalTo(1L));
  }

  @Test
  void listenerExceptionIsCountedAndConnectionStaysOpen() throws Exception {
    NettyPeerTransport from = createTransport("a-1", 0, "s", null);
    NettyPeerTransport to = createTransport("b-1", 0, "s", null);
    to.setFrameListener(
        frame -> {
          if (frame.getGossip().getSequence() == 1) {
            throw new IllegalStateException("broken");
          }
          received.add(frame);
        });
    assertThat(sendUntilReceived(from, formatAddress(to.listen()), ATTEMPTS), notNullValue());
    assertThat(registry.counter("peer.frame_failures").getCount(), equalTo(1L));
    assertThat(registry.counter("peer.malformed_frames").getCount() == 0, is(true));
  }
}
