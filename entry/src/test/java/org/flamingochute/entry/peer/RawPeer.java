package org.flamingochute.entry.peer;

import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.flamingochute.schema.Gossip;
import org.flamingochute.schema.PeerFrame;
import org.flamingochute.schema.PeerHello;
import org.flamingochute.schema.PeerHelloProof;

/** A peer on a plain socket, which can violate the protocol at any point. */
final class RawPeer implements AutoCloseable {
  static final String NAME = "raw-1";
  private static final int TIMEOUT_MILLISECONDS = 5000;

  final PeerSecret secret;
  final byte[] nonce = new byte[HandshakeTranscript.NONCE_BYTES];
  private final Socket socket;
  private final DataInputStream input;
  private final DataOutputStream output;
  HandshakeTranscript transcript;
  FrameAuthenticator authenticator;

  RawPeer(InetSocketAddress address, PeerSecret secret) throws IOException {
    this(new Socket(address.getAddress(), address.getPort()), secret);
  }

  /** Creates a peer on a connected socket. */
  RawPeer(Socket socket, PeerSecret secret) throws IOException {
    this.secret = secret;
    this.socket = socket;
    socket.setSoTimeout(TIMEOUT_MILLISECONDS);
    input = new DataInputStream(socket.getInputStream());
    output = new DataOutputStream(socket.getOutputStream());
  }

  static PeerFrame hello(String name, int version, byte[] nonce) {
    return PeerFrame.newBuilder()
        .setSender(name)
        .setHello(
            PeerHello.newBuilder().setProtocolVersion(version).setNonce(ByteString.copyFrom(nonce)))
        .build();
  }

  static PeerFrame proof(byte[] mac) {
    return PeerFrame.newBuilder()
        .setSender(NAME)
        .setHelloProof(
            PeerHelloProof.newBuilder().setMessageAuthenticationCode(ByteString.copyFrom(mac)))
        .build();
  }

  static PeerFrame gossip(String sender, String receiver, long sequence) {
    return PeerFrame.newBuilder()
        .setSender(sender)
        .setReceiver(receiver)
        .setGossip(Gossip.newBuilder().setSequence(sequence))
        .build();
  }

  void writeBytes(byte[] bytes) throws IOException {
    output.write(bytes);
    output.flush();
  }

  void write(int length, byte[] bytes) throws IOException {
    output.writeInt(length);
    writeBytes(bytes);
  }

  void write(PeerFrame frame) throws IOException {
    write(frame.getSerializedSize(), frame.toByteArray());
  }

  void writeAuthenticated(byte[] frame) throws IOException {
    output.writeInt(PeerSecret.MAC_BYTES + frame.length);
    output.write(authenticator.nextMac(frame));
    writeBytes(frame);
  }

  PeerFrame read() throws IOException {
    byte[] frame = new byte[input.readInt()];
    input.readFully(frame);
    return PeerFrame.parseFrom(frame);
  }

  /** Exchanges the hello frames. */
  void exchangeHellos() throws IOException {
    write(hello(NAME, HandshakeTranscript.PROTOCOL_VERSION, nonce));
    PeerFrame response = read();
    transcript =
        new HandshakeTranscript(
            NAME, response.getSender(), nonce, response.getHello().getNonce().toByteArray());
  }

  /** Performs the whole handshake as the connecting side. */
  void completeHandshake() throws IOException {
    exchangeHellos();
    write(proof(transcript.clientProof(secret)));
    read();
    authenticator = transcript.clientFrameAuthenticator(secret);
  }

  /** Performs the whole handshake as the accepting side. */
  void acceptHandshake() throws IOException {
    PeerFrame hello = read();
    write(hello(NAME, HandshakeTranscript.PROTOCOL_VERSION, nonce));
    transcript =
        new HandshakeTranscript(
            hello.getSender(), NAME, hello.getHello().getNonce().toByteArray(), nonce);
    read();
    write(proof(transcript.serverProof(secret)));
    authenticator = transcript.serverFrameAuthenticator(secret);
  }

  /** Reads until the other side closes the connection; returns false after a timeout. */
  boolean isClosedByRemote() {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
    try {
      while (System.nanoTime() < deadline) {
        if (input.read() < 0) {
          return true;
        }
      }
      return false;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
