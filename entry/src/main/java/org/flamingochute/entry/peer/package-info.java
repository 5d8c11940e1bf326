/**
 * Frames between entries over Netty.
 *
 * <p>A connection carries frames in one direction, from the entry that opened it, and heartbeats in
 * the other. It begins with a handshake in which both sides prove that they know the secret; see
 * {@link org.flamingochute.entry.peer.HandshakeTranscript}.
 */
package org.flamingochute.entry.peer;
