package org.flamingochute.entry.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import javax.crypto.Mac;

/**
 * Transcript of a connection's handshake, from which both sides compute proofs and session keys.
 *
 * <p>The client sends its name and a random nonce, and the server responds with its own. The client
 * then sends the HMAC-SHA256, keyed with the secret, of the label {@code client}, both names and
 * both nonces; the server responds with the same for the label {@code server}. Fresh nonces prevent
 * the replay of old proofs. Different labels prevent reflection attacks, in which a side is made to
 * compute the proof that it expects. The server sends its proof only to an authenticated client.
 * Two further labels derive the keys that authenticate the subsequent frames in each direction.
 *
 * @param clientName incarnation of the side that opened the connection
 * @param serverName incarnation of the side that accepted it
 * @param clientNonce nonce of the client
 * @param serverNonce nonce of the server
 */
record HandshakeTranscript(
    String clientName, String serverName, byte[] clientNonce, byte[] serverNonce) {
  /** Nonce length in bytes. */
  static final int NONCE_BYTES = 32;

  /** Protocol version; both sides must use the same. */
  static final int PROTOCOL_VERSION = 1;

  private static final String CLIENT = "client";
  private static final String SERVER = "server";
  private static final String CLIENT_FRAMES = "client frames";
  private static final String SERVER_FRAMES = "server frames";

  /** Returns the proof of the client. */
  byte[] clientProof(PeerSecret secret) {
    return computeMac(secret, CLIENT);
  }

  /** Returns the proof of the server. */
  byte[] serverProof(PeerSecret secret) {
    return computeMac(secret, SERVER);
  }

  /** Returns the authenticator of the frames that the client sends after the handshake. */
  FrameAuthenticator clientFrameAuthenticator(PeerSecret secret) {
    return new FrameAuthenticator(PeerSecret.of(computeMac(secret, CLIENT_FRAMES)));
  }

  /** Returns the authenticator of the frames that the server sends after the handshake. */
  FrameAuthenticator serverFrameAuthenticator(PeerSecret secret) {
    return new FrameAuthenticator(PeerSecret.of(computeMac(secret, SERVER_FRAMES)));
  }

  /** Compares codes in constant time, regardless of where they differ. */
  static boolean equalsInConstantTime(byte[] expected, byte[] presented) {
    return MessageDigest.isEqual(expected, presented);
  }

  private byte[] computeMac(PeerSecret secret, String role) {
    Mac mac = secret.newMac();
    addField(mac, role.getBytes(StandardCharsets.UTF_8));
    addField(mac, clientName.getBytes(StandardCharsets.UTF_8));
    addField(mac, serverName.getBytes(StandardCharsets.UTF_8));
    addField(mac, clientNonce);
    addField(mac, serverNonce);
    return mac.doFinal();
  }

  /** Adds a field with its length as prefix, so that different transcripts differ in bytes. */
  private static void addField(Mac mac, byte[] field) {
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).flip());
    mac.update(field);
  }
}
