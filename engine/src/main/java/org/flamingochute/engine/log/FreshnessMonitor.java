package org.flamingochute.engine.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.MemberImage;

/**
 * Decides whether this entry's agreed state is recent enough to start new work.
 *
 * <p>An entry is fresh while one of two proofs is at most as old as the freshness limit:
 *
 * <ul>
 *   <li>it read the log to its end; the age of the proof counts from the start of the read that
 *       reached the end;
 *   <li>it received gossip from a majority of the other members that the platform does not list as
 *       gone, and none of those has applied a later offset. The age of a peer's gossip counts from
 *       the sending of the newest gossip of this entry that the peer had received when it wrote its
 *       own, so that frames which waited in a socket while this process was paused prove nothing.
 * </ul>
 *
 * <p>Both ages are measured on the monotonic clock. In a process that was paused for longer than
 * the limit, both proofs are too old before it starts any work.
 *
 * <p>Example: limit 3000 ms, four members. At time 10000 ms, the last read to the end of the log
 * was at 6000 ms. The gossip of peers B and C echoes gossip that this entry sent at 9800 ms, and
 * nothing arrived from D. Two of three peers are a majority, and neither has a later offset: the
 * entry is fresh.
 */
public final class FreshnessMonitor {

  /** The time of a proof that does not exist. */
  public static final long NEVER = Long.MIN_VALUE;

  private final AgreedView agreed;
  private final Timers timers;
  private final Incarnation self;
  private final long limitMilliseconds;
  private volatile Predicate<Incarnation> isListedGone = incarnation -> false;
  private final Map<Incarnation, PeerGossip> lastGossip = new HashMap<>();
  private long logEndReadMilliseconds = NEVER;

  /**
   * Creates a monitor without any proof of freshness.
   *
   * @param limitMilliseconds maximum age of a proof
   */
  public FreshnessMonitor(
      AgreedView agreed, Timers timers, Incarnation self, long limitMilliseconds) {
    this.agreed = agreed;
    this.timers = timers;
    this.self = self;
    this.limitMilliseconds = limitMilliseconds;
  }

  /**
   * Sets the predicate for members that the platform lists as gone. They are not counted as peers,
   * since they cannot have a later state.
   */
  public void setListedGone(Predicate<Incarnation> predicate) {
    isListedGone = predicate;
  }

  /**
   * Returns the maximum age of a proof: the setting, or the limit of the fleet if that is lower.
   */
  public long limitMilliseconds() {
    long fleetLimit = agreed.description().getFleet().getMaximumFreshnessMilliseconds();
    return fleetLimit > 0 ? Math.min(limitMilliseconds, fleetLimit) : limitMilliseconds;
  }

  /** Records that a read started at the given monotonic time reached the end of the log. */
  public synchronized void recordLogEndRead(long startMilliseconds) {
    logEndReadMilliseconds = Math.max(logEndReadMilliseconds, startMilliseconds);
  }

  /**
   * Records the receipt of a peer's gossip.
   *
   * @param provenMilliseconds monotonic time before which the gossip cannot have been written, or
   *     {@link #NEVER} if that is unknown
   * @param offset last offset that the peer had applied
   */
  public synchronized void recordGossip(Incarnation peer, long provenMilliseconds, long offset) {
    PeerGossip previous = lastGossip.get(peer);
    if (previous == null) {
      lastGossip.put(peer, new PeerGossip(provenMilliseconds, offset));
      return;
    }
    long proven = Math.max(previous.provenMilliseconds(), provenMilliseconds);
    lastGossip.put(peer, new PeerGossip(proven, Math.max(previous.offset(), offset)));
  }

  /** Removes a peer that is no longer a member. */
  public synchronized void removePeer(Incarnation peer) {
    lastGossip.remove(peer);
  }

  /** Returns whether the log was read to its end within the freshness limit. */
  public synchronized boolean isLogFresh() {
    return isWithinLimit(logEndReadMilliseconds);
  }

  /** Returns whether a peer's gossip is proven to be at most as old as the freshness limit. */
  public synchronized boolean isReachable(Incarnation peer) {
    PeerGossip last = lastGossip.get(peer);
    return last != null && isWithinLimit(last.provenMilliseconds());
  }

  /** Returns whether a peer's gossip is proven to be at most as old as the given age. */
  public synchronized boolean wasReachableWithin(Incarnation peer, long ageMilliseconds) {
    PeerGossip last = lastGossip.get(peer);
    return last != null && isWithin(last.provenMilliseconds(), ageMilliseconds);
  }

  /** Returns whether every other member has reported that it has applied the offset. */
  public boolean haveAllApplied(long offset) {
    List<MemberImage> members = agreed.members();
    synchronized (this) {
      for (MemberImage member : members) {
        Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
        PeerGossip last = lastGossip.get(incarnation);
        boolean hasApplied = last != null && last.offset() >= offset;
        if (!hasApplied && !incarnation.equals(self)) {
          return false;
        }
      }
    }
    return true;
  }

  /** Returns whether new work may be started now. */
  public boolean isFresh() {
    return isLogFresh() || isFreshByPeers();
  }

  private boolean isFreshByPeers() {
    List<Incarnation> peers = peersNotListedGone();
    long offset = agreed.offset();
    synchronized (this) {
      int reachablePeers = 0;
      for (Incarnation incarnation : peers) {
        PeerGossip last = lastGossip.get(incarnation);
        if (last == null || !isWithinLimit(last.provenMilliseconds())) {
          continue;
        }
        if (last.offset() > offset) {
          return false;
        }
        reachablePeers++;
      }
      return reachablePeers * 2 > peers.size();
    }
  }

  private List<Incarnation> peersNotListedGone() {
    List<Incarnation> peers = new ArrayList<>();
    for (MemberImage member : agreed.members()) {
      Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
      if (!incarnation.equals(self) && !isListedGone.test(incarnation)) {
        peers.add(incarnation);
      }
    }
    return peers;
  }

  private boolean isWithinLimit(long provenMilliseconds) {
    return isWithin(provenMilliseconds, limitMilliseconds());
  }

  private boolean isWithin(long provenMilliseconds, long ageMilliseconds) {
    return provenMilliseconds != NEVER
        && timers.monotonicMilliseconds() - provenMilliseconds <= ageMilliseconds;
  }

  private record PeerGossip(long provenMilliseconds, long offset) {}
}
