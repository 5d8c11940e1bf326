package org.flamingochute.engine.peer;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.FreshnessMonitor;

/**
 * Tracks the sequence numbers of gossip, and determines by their echoes when a peer was last alive.
 *
 * <p>Each gossip echoes the sequence number of the newest gossip that its writer had received from
 * the receiver. This proves that the writer was alive after the receiver sent that gossip. Example:
 * this entry sent sequence number 17 at 3400 ms; a gossip with echo 17 that is read at 9000 ms,
 * after a pause, proves that its writer was alive after 3400 ms.
 */
final class GossipSequenceTracker {

  /** Maximum number of sent sequence numbers whose times are stored. */
  private static final int MAXIMUM_SENT_SEQUENCES = 256;

  private final Map<Long, Long> sentMilliseconds =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAXIMUM_SENT_SEQUENCES;
        }
      };

  private final Map<Incarnation, Long> newestPeerSequences = new HashMap<>();
  private long sequence;

  /** Returns the sequence number of the gossip that is sent at the given monotonic time. */
  synchronized long nextSequence(long nowMilliseconds) {
    sequence++;
    sentMilliseconds.put(sequence, nowMilliseconds);
    return sequence;
  }

  /**
   * Returns the newest sequence number received from a peer, which is echoed to it, or 0 if there
   * is none.
   */
  synchronized long newestSequence(Incarnation peer) {
    return newestPeerSequences.getOrDefault(peer, 0L);
  }

  /** Records a peer's sequence number. Returns whether it is newer than all earlier ones. */
  synchronized boolean recordReceived(Incarnation peer, long peerSequence) {
    if (peerSequence <= newestSequence(peer)) {
      return false;
    }
    newestPeerSequences.put(peer, peerSequence);
    return true;
  }

  /** Returns the monotonic time after which the writer of an echo was alive. */
  synchronized long provenMilliseconds(long echoedSequence) {
    return sentMilliseconds.getOrDefault(echoedSequence, FreshnessMonitor.NEVER);
  }

  /** Removes a peer. */
  synchronized void removePeer(Incarnation peer) {
    newestPeerSequences.remove(peer);
  }
}
