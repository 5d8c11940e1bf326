package org.flamingochute.engine.peer;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.FreshnessMonitor;

/**
 * Relates the gossip of peers to the time at which this entry sent its own.
 *
 * <p>Each gossip repeats the sequence of the newest gossip that its writer had received from us.
 * The time at which we sent that one is the proof that the writer was alive later. Example: we sent
 * 17 at 3400 ms; a gossip with echo 17 that is read at 9000 ms, after a pause, proves 3400 ms.
 */
final class GossipClock {

  /** Own sequences whose times are remembered. */
  private static final int REMEMBERED = 256;

  private final Map<Long, Long> sentMilliseconds =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > REMEMBERED;
        }
      };

  private final Map<Incarnation, Long> newestOfPeer = new HashMap<>();
  private long sequence;

  /** Returns the sequence of the gossip that is sent at the monotonic time. */
  synchronized long next(long nowMilliseconds) {
    sequence++;
    sentMilliseconds.put(sequence, nowMilliseconds);
    return sequence;
  }

  /** Returns the sequence to repeat to a peer, or 0. */
  synchronized long echoFor(Incarnation peer) {
    return newestOfPeer.getOrDefault(peer, 0L);
  }

  /** Notes a peer's sequence. Returns whether it is newer than all before. */
  synchronized boolean take(Incarnation peer, long peerSequence) {
    if (peerSequence <= echoFor(peer)) {
      return false;
    }
    newestOfPeer.put(peer, peerSequence);
    return true;
  }

  /** Returns the time that an echo proves. */
  synchronized long proven(long echoedSequence) {
    return sentMilliseconds.getOrDefault(echoedSequence, FreshnessMonitor.NEVER);
  }

  /** Forgets a peer. */
  synchronized void remove(Incarnation peer) {
    newestOfPeer.remove(peer);
  }
}
