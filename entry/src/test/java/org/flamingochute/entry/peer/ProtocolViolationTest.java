package org.flamingochute.entry.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.flamingochute.schema.PeerFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that a transport closes connections to peers that violate the protocol, and still accepts
 * valid peers afterwards.
 *
 * <p>Guards against accepting frames from unauthenticated senders and frames that were forged,
 * modified, replayed or dropped in transit.
 */
class ProtocolViolationTest {
  private static final byte[] SECRET = "secret".getBytes(StandardCharsets.UTF_8);
  private static final int FRAME_LIMIT = 5000;
  private static final String LOCAL_NAME = "own-1";
  private static final String MALFORMED = "peer.malformed_frames";
  private static final String HANDSHAKE_FAILURES = "peer.handshake_failures";
  private static final String MISDIRECTED = "peer.frames_misdirected";

  private final MetricRegistry registry = new MetricRegistry();
  private final BlockingQueue<PeerFrame> received = new LinkedBlockingQueue<>();
  private NettyPeerTransport transport;
  private InetSocketAddress address;

  @BeforeEach
  void listen() throws IOException {
    transport =
        new NettyPeerTransport(
            PeerTransportSettings.builder()
                .localName(LOCAL_NAME)
                .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .secret(Optional.of(SECRET))
                .maximumFrameBytes(FRAME_LIMIT)
                .registry(registry)
                .build());
    transport.setFrameListener(received::add);
    address = transport.listen();
  }

  @AfterEach
  void close() {
    transport.close();
  }

  /** Performs a protocol violation on a connection. */
  @FunctionalInterface
  interface ProtocolViolation {
    void perform(RawPeer peer) throws IOException;
  }

  private static Arguments violation(String name, String metric, ProtocolViolation violation) {
    return arguments(name, metric, violation);
  }

  static Stream<Arguments> violations() {
    byte[] nonce = new byte[HandshakeTranscript.NONCE_BYTES];
    byte[] large = new byte[FRAME_LIMIT + 1];
    byte[] frame = RawPeer.gossip(RawPeer.NAME, LOCAL_NAME, 1).toByteArray();
    return Stream.of(
        violation("http", MALFORMED, peer -> peer.writeBytes("GET / HTTP/1.1\r\n\r\n".getBytes())),
        violation("empty frame", MALFORMED, peer -> peer.write(0, new byte[0])),
        violation("negative length", MALFORMED, peer -> peer.write(-1, new byte[4])),
        violation(
            "large before the handshake", MALFORMED, peer -> peer.write(2000, new byte[2000])),
        violation("no protobuf", MALFORMED, peer -> peer.write(3, new byte[] {-1, -1, -1})),
        violation(
            "no hello",
            HANDSHAKE_FAILURES,
            peer -> peer.write(RawPeer.gossip(RawPeer.NAME, LOCAL_NAME, 1))),
        violation(
            "version", HANDSHAKE_FAILURES, peer -> peer.write(RawPeer.hello("raw", 2, nonce))),
        violation(
            "short nonce",
            HANDSHAKE_FAILURES,
            peer -> peer.write(RawPeer.hello("raw", 1, new byte[8]))),
        violation("no sender", HANDSHAKE_FAILURES, peer -> peer.write(RawPeer.hello("", 1, nonce))),
        violation(
            "no proof",
            HANDSHAKE_FAILURES,
            peer -> {
              peer.exchangeHellos();
              peer.write(RawPeer.gossip(RawPeer.NAME, LOCAL_NAME, 1));
            }),
        violation(
            "empty proof",
            HANDSHAKE_FAILURES,
            peer -> {
              peer.exchangeHellos();
              peer.write(RawPeer.proof(new byte[0]));
            }),
        violation(
            "proof of another secret",
            HANDSHAKE_FAILURES,
            peer -> {
              peer.exchangeHellos();
              PeerSecret other = PeerSecret.of("other".getBytes(StandardCharsets.UTF_8));
              peer.write(RawPeer.proof(peer.transcript.clientProof(other)));
            }),
        violation(
            "proof of the other role",
            HANDSHAKE_FAILURES,
            peer -> {
              peer.exchangeHellos();
              peer.write(RawPeer.proof(peer.transcript.serverProof(peer.secret)));
            }),
        violation(
            "proof of another name",
            HANDSHAKE_FAILURES,
            peer -> {
              peer.exchangeHellos();
              HandshakeTranscript other =
                  new HandshakeTranscript(
                      "raw-2", LOCAL_NAME, nonce, peer.transcript.serverNonce());
              peer.write(RawPeer.proof(other.clientProof(peer.secret)));
            }),
        violation(
            "frame without authentication code",
            MALFORMED,
            peer -> {
              peer.completeHandshake();
              peer.write(RawPeer.gossip(RawPeer.NAME, LOCAL_NAME, 1));
            }),
        violation(
            "frame shorter than its authentication code",
            MALFORMED,
            peer -> {
              peer.completeHandshake();
              peer.write(PeerSecret.MAC_BYTES, new byte[PeerSecret.MAC_BYTES]);
            }),
        violation(
            "frame changed on the way",
            MALFORMED,
            peer -> {
              peer.completeHandshake();
              byte[] changed = RawPeer.gossip(RawPeer.NAME, LOCAL_NAME, 2).toByteArray();
              byte[] code = peer.authenticator.nextMac(frame);
              peer.write(code.length + changed.length, code);
              peer.writeBytes(changed);
            }),
        violation(
            "frame left out on the way",
            MALFORMED,
            peer -> {
              peer.completeHandshake();
              peer.authenticator.nextMac(frame);
              peer.writeAuthenticated(frame);
            }),
        violation(
            "large frame",
            MALFORMED,
            peer -> {
              peer.completeHandshake();
              peer.writeAuthenticated(large);
            }),
        violation(
            "authenticated garbage",
            MALFORMED,
            peer -> {
              peer.completeHandshake();
              peer.writeAuthenticated(new byte[] {-1, -1, -1});
            }));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("violations")
  void protocolViolationClosesConnectionAndIsCounted(
      String name, String metric, ProtocolViolation violation) throws Exception {
    try (RawPeer peer = new RawPeer(address, PeerSecret.of(SECRET))) {
      perform(violation, peer);
      assertThat(peer.isClosedByRemote(), is(true));
    }
    assertThat(registry.counter(metric).getCount(), equalTo(1L));
    assertThat(received.isEmpty(), is(true));
    assertThatFrameOfValidPeerIsReceived();
  }

  private static void perform(ProtocolViolation violation, RawPeer peer) throws IOException {
    try {
      violation.perform(peer);
    } catch (SocketException e) {
      // The transport closed the connection before the last byte was written.
    }
  }

  private void assertThatFrameOfValidPeerIsReceived() throws Exception {
    try (RawPeer peer = new RawPeer(address, PeerSecret.of(SECRET))) {
      peer.completeHandshake();
      peer.writeAuthenticated(RawPeer.gossip(RawPeer.NAME, LOCAL_NAME, 7).toByteArray());
      PeerFrame frame = received.poll(5, TimeUnit.SECONDS);
      assertThat(frame.getGossip().getSequence(), equalTo(7L));
    }
  }

  static Stream<Arguments> misaddressedFrames() {
    return Stream.of(
        arguments(RawPeer.NAME, "own-0", 1L, 0),
        arguments("forged-1", LOCAL_NAME, 1L, 0),
        arguments(RawPeer.NAME, "", 0L, 1),
        arguments(RawPeer.NAME, LOCAL_NAME, 0L, 1));
  }

  @ParameterizedTest
  @MethodSource("misaddressedFrames")
  void frameWithWrongSenderOrReceiverIsDropped(
      String sender, String receiver, long misdirected, int delivered) throws Exception {
    try (RawPeer peer = new RawPeer(address, PeerSecret.of(SECRET))) {
      peer.completeHandshake();
      peer.writeAuthenticated(RawPeer.gossip(sender, receiver, 1).toByteArray());
      peer.writeAuthenticated(RawPeer.gossip(RawPeer.NAME, LOCAL_NAME, 99).toByteArray());
      int before = 0;
      while (received.poll(5, TimeUnit.SECONDS).getGossip().getSequence() != 99) {
        before++;
      }
      assertThat(before, equalTo(delivered));
      assertThat(registry.counter(MISDIRECTED).getCount(), equalTo(misdirected));
    }
  }
}
