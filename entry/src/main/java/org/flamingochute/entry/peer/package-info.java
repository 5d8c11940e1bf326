/**
 * Peer transport between entries, based on Netty.
 *
 * <p>A connection carries frames in one direction, from the entry that opened it, and keep-alive
 * frames in the other. It starts with a handshake in which both sides prove knowledge of the
 * secret; see {@link org.flamingochute.entry.peer.HandshakeTranscript}.
 */
package org.flamingochute.entry.peer;
