package org.flamingochute.entry.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import javax.crypto.Mac;

/**
 * What both sides of a connection have seen of its handshake, and the proofs over it.
 *
 * <p>The client sends its name and a random nonce, the server answers with its own. Then the client
 * sends HMAC-SHA256 with the secret over the word {@code client}, both names and both nonces, and
 * the server answers with the same over the word {@code server}. Since each side chose a fresh
 * nonce, an old proof is useless; since the roles differ, a side can not be made to produce the
 * proof that it waits for; and the server proves nothing to a client that has not proved itself.
 * Two more words give the keys that seal the frames that follow in each direction.
 *
 * @param clientName incarnation of the side that opened the connection
 * @param serverName incarnation of the side that accepted it
 * @param clientNonce nonce of the client
 * @param serverNonce nonce of the server
 */
record HandshakeTranscript(
    String clientName, String serverName, byte[] clientNonce, byte[] serverNonce) {
  /** Length of a nonce in bytes. */
  static final int NONCE_BYTES = 32;

  /** Version of the protocol; both sides must have the same. */
  static final int PROTOCOL_VERSION = 1;

  private static final String CLIENT = "client";
  private static final String SERVER = "server";
  private static final String CLIENT_FRAMES = "client frames";
  private static final String SERVER_FRAMES = "server frames";

  /** Returns the proof of the client. */
  byte[] clientProof(PeerSecret secret) {
    return code(secret, CLIENT);
  }

  /** Returns the proof of the server. */
  byte[] serverProof(PeerSecret secret) {
    return code(secret, SERVER);
  }

  /** Returns the seal of the frames that the client sends after the handshake. */
  FrameSeal clientSeal(PeerSecret secret) {
    return new FrameSeal(PeerSecret.of(code(secret, CLIENT_FRAMES)));
  }

  /** Returns the seal of the frames that the server sends after the handshake. */
  FrameSeal serverSeal(PeerSecret secret) {
    return new FrameSeal(PeerSecret.of(code(secret, SERVER_FRAMES)));
  }

  /** Compares proofs in a time that does not depend on where they differ. */
  static boolean isSame(byte[] expected, byte[] presented) {
    return MessageDigest.isEqual(expected, presented);
  }

  private byte[] code(PeerSecret secret, String role) {
    Mac code = secret.newCode();
    addField(code, role.getBytes(StandardCharsets.UTF_8));
    addField(code, clientName.getBytes(StandardCharsets.UTF_8));
    addField(code, serverName.getBytes(StandardCharsets.UTF_8));
    addField(code, clientNonce);
    addField(code, serverNonce);
    return code.doFinal();
  }

  /** Adds a field after its length, so that no two different transcripts have the same bytes. */
  private static void addField(Mac code, byte[] field) {
    code.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).flip());
    code.update(field);
  }
}
