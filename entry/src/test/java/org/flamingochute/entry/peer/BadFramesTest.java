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

/** A transport against peers that break the protocol. */
class BadFramesTest {
  private static final byte[] SECRET = "secret".getBytes(StandardCharsets.UTF_8);
  private static final int FRAME_LIMIT = 5000;
  private static final String NAME = "own-1";
  private static final String MALFORMED = "peer.malformed_frames";
  private static final String HANDSHAKE = "peer.handshake_failures";
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
                .ownName(NAME)
                .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .secret(Optional.of(SECRET))
                .maximumFrameBytes(FRAME_LIMIT)
                .registry(registry)
                .build());
    transport.onFrame(received::add);
    address = transport.listen();
  }

  @AfterEach
  void close() {
    transport.close();
  }

  /** What a peer does wrong. */
  @FunctionalInterface
  interface Misdeed {
    void commit(RawPeer peer) throws IOException;
  }

  private static Arguments bad(String name, String metric, Misdeed misdeed) {
    return arguments(name, metric, misdeed);
  }

  static Stream<Arguments> misdeeds() {
    byte[] nonce = new byte[HandshakeTranscript.NONCE_BYTES];
    byte[] large = new byte[FRAME_LIMIT + 1];
    byte[] frame = RawPeer.gossip(RawPeer.NAME, NAME, 1).toByteArray();
    return Stream.of(
        bad("http", MALFORMED, peer -> peer.writeBytes("GET / HTTP/1.1\r\n\r\n".getBytes())),
        bad("empty frame", MALFORMED, peer -> peer.write(0, new byte[0])),
        bad("negative length", MALFORMED, peer -> peer.write(-1, new byte[4])),
        bad("large before the handshake", MALFORMED, peer -> peer.write(2000, new byte[2000])),
        bad("no protobuf", MALFORMED, peer -> peer.write(3, new byte[] {-1, -1, -1})),
        bad("no hello", HANDSHAKE, peer -> peer.write(RawPeer.gossip(RawPeer.NAME, NAME, 1))),
        bad("version", HANDSHAKE, peer -> peer.write(RawPeer.hello("raw", 2, nonce))),
        bad("short nonce", HANDSHAKE, peer -> peer.write(RawPeer.hello("raw", 1, new byte[8]))),
        bad("no sender", HANDSHAKE, peer -> peer.write(RawPeer.hello("", 1, nonce))),
        bad(
            "no proof",
            HANDSHAKE,
            peer -> {
              peer.greet();
              peer.write(RawPeer.gossip(RawPeer.NAME, NAME, 1));
            }),
        bad(
            "empty proof",
            HANDSHAKE,
            peer -> {
              peer.greet();
              peer.write(RawPeer.proof(new byte[0]));
            }),
        bad(
            "proof of another secret",
            HANDSHAKE,
            peer -> {
              peer.greet();
              PeerSecret other = PeerSecret.of("other".getBytes(StandardCharsets.UTF_8));
              peer.write(RawPeer.proof(peer.transcript.clientProof(other)));
            }),
        bad(
            "proof of the other role",
            HANDSHAKE,
            peer -> {
              peer.greet();
              peer.write(RawPeer.proof(peer.transcript.serverProof(peer.secret)));
            }),
        bad(
            "proof of another name",
            HANDSHAKE,
            peer -> {
              peer.greet();
              HandshakeTranscript other =
                  new HandshakeTranscript("raw-2", NAME, nonce, peer.transcript.serverNonce());
              peer.write(RawPeer.proof(other.clientProof(peer.secret)));
            }),
        bad(
            "frame without a seal",
            MALFORMED,
            peer -> {
              peer.shakeHands();
              peer.write(RawPeer.gossip(RawPeer.NAME, NAME, 1));
            }),
        bad(
            "frame shorter than a seal",
            MALFORMED,
            peer -> {
              peer.shakeHands();
              peer.write(PeerSecret.CODE_BYTES, new byte[PeerSecret.CODE_BYTES]);
            }),
        bad(
            "frame changed on the way",
            MALFORMED,
            peer -> {
              peer.shakeHands();
              byte[] changed = RawPeer.gossip(RawPeer.NAME, NAME, 2).toByteArray();
              byte[] code = peer.seal.next(frame);
              peer.write(code.length + changed.length, code);
              peer.writeBytes(changed);
            }),
        bad(
            "frame left out on the way",
            MALFORMED,
            peer -> {
              peer.shakeHands();
              peer.seal.next(frame);
              peer.writeSealed(frame);
            }),
        bad(
            "large frame",
            MALFORMED,
            peer -> {
              peer.shakeHands();
              peer.writeSealed(large);
            }),
        bad(
            "sealed garbage",
            MALFORMED,
            peer -> {
              peer.shakeHands();
              peer.writeSealed(new byte[] {-1, -1, -1});
            }));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("misdeeds")
  void badFrameClosesItsConnectionAndIsCounted(String name, String metric, Misdeed misdeed)
      throws Exception {
    try (RawPeer peer = new RawPeer(address, PeerSecret.of(SECRET))) {
      commit(misdeed, peer);
      assertThat(peer.isClosedByOther(), is(true));
    }
    assertThat(registry.counter(metric).getCount(), equalTo(1L));
    assertThat(received.isEmpty(), is(true));
    assertThatGoodPeerIsHeard();
  }

  private static void commit(Misdeed misdeed, RawPeer peer) throws IOException {
    try {
      misdeed.commit(peer);
    } catch (SocketException e) {
      // The transport closed the connection before the last byte was written.
    }
  }

  private void assertThatGoodPeerIsHeard() throws Exception {
    try (RawPeer peer = new RawPeer(address, PeerSecret.of(SECRET))) {
      peer.shakeHands();
      peer.writeSealed(RawPeer.gossip(RawPeer.NAME, NAME, 7).toByteArray());
      PeerFrame frame = received.poll(5, TimeUnit.SECONDS);
      assertThat(frame.getGossip().getSequence(), equalTo(7L));
    }
  }

  static Stream<Arguments> misdirectedFrames() {
    return Stream.of(
        arguments(RawPeer.NAME, "own-0", 1L, 0),
        arguments("forged-1", NAME, 1L, 0),
        arguments(RawPeer.NAME, "", 0L, 1),
        arguments(RawPeer.NAME, NAME, 0L, 1));
  }

  @ParameterizedTest
  @MethodSource("misdirectedFrames")
  void frameForAnotherReceiverOrOfAnotherSenderIsDropped(
      String sender, String receiver, long misdirected, int delivered) throws Exception {
    try (RawPeer peer = new RawPeer(address, PeerSecret.of(SECRET))) {
      peer.shakeHands();
      peer.writeSealed(RawPeer.gossip(sender, receiver, 1).toByteArray());
      peer.writeSealed(RawPeer.gossip(RawPeer.NAME, NAME, 99).toByteArray());
      int before = 0;
      while (received.poll(5, TimeUnit.SECONDS).getGossip().getSequence() != 99) {
        before++;
      }
      assertThat(before, equalTo(delivered));
      assertThat(registry.counter(MISDIRECTED).getCount(), equalTo(misdirected));
    }
  }
}
