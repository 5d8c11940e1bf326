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
 * Decides whether this entry knows the agreed state well enough to start new work.
 *
 * <p>An entry is fresh while one of two proofs is younger than the freshness limit:
 *
 * <ul>
 *   <li>it read the log up to its end; the proof is as old as the call that reached the end;
 *   <li>it heard from a majority of the other members that the platform does not list as gone, and
 *       none of those has folded a later offset. The proof of hearing a peer is as old as the
 *       newest gossip of our own that the peer had received when it wrote, so that frames which
 *       waited in a socket while this process was paused prove nothing.
 * </ul>
 *
 * <p>Both ages are measured on the monotonic clock. A process that was paused for longer than the
 * limit finds both proofs too old before it starts anything.
 *
 * <p>Example: limit 3000 ms, four members. At 10000 ms the log was last read to its end at 6000 ms.
 * Peers B and C answered gossip that was sent at 9800 ms, D is silent. Two of three others are a
 * majority, and neither has a later offset: the entry is fresh.
 */
public final class FreshnessMonitor {

  /** Stands for the time of a proof that does not exist. */
  public static final long NEVER = Long.MIN_VALUE;

  private final AgreedView agreed;
  private final Timers timers;
  private final Incarnation self;
  private final long limitMilliseconds;
  private volatile Predicate<Incarnation> listedGone = incarnation -> false;
  private final Map<Incarnation, Heard> heard = new HashMap<>();
  private long logEndMilliseconds = NEVER;

  /**
   * Creates a monitor that is not fresh.
   *
   * @param limitMilliseconds greatest age of a proof
   */
  public FreshnessMonitor(
      AgreedView agreed, Timers timers, Incarnation self, long limitMilliseconds) {
    this.agreed = agreed;
    this.timers = timers;
    this.self = self;
    this.limitMilliseconds = limitMilliseconds;
  }

  /**
   * Sets what tells that the platform lists a member as gone. Such a member does not count among
   * the others, since it can not know anything newer.
   */
  public void setListedGone(Predicate<Incarnation> predicate) {
    listedGone = predicate;
  }

  /** Returns the greatest age of a proof in milliseconds: the setting, or the fleet's if lower. */
  public long limitMilliseconds() {
    long ofFleet = agreed.description().getFleet().getMaximumFreshnessMilliseconds();
    return ofFleet > 0 ? Math.min(limitMilliseconds, ofFleet) : limitMilliseconds;
  }

  /** Notes that a read which began at the monotonic time reached the end of the log. */
  public synchronized void logEndRead(long begunMilliseconds) {
    logEndMilliseconds = Math.max(logEndMilliseconds, begunMilliseconds);
  }

  /**
   * Notes a peer's gossip.
   *
   * @param provenMilliseconds monotonic time before which the gossip cannot have been written, or
   *     {@link #NEVER} when it proves no time
   * @param offset last offset that the peer had folded
   */
  public synchronized void peerHeard(Incarnation peer, long provenMilliseconds, long offset) {
    Heard before = heard.get(peer);
    if (before == null) {
      heard.put(peer, new Heard(provenMilliseconds, offset));
      return;
    }
    long proven = Math.max(before.milliseconds(), provenMilliseconds);
    heard.put(peer, new Heard(proven, Math.max(before.offset(), offset)));
  }

  /** Forgets a peer that is no longer a member. */
  public synchronized void peerRemoved(Incarnation peer) {
    heard.remove(peer);
  }

  /** Tells whether the log was read to its end within the limit. */
  public synchronized boolean isLogFresh() {
    return isWithinLimit(logEndMilliseconds);
  }

  /** Tells whether the peer was heard within the limit. */
  public synchronized boolean isHeard(Incarnation peer) {
    Heard last = heard.get(peer);
    return last != null && isWithinLimit(last.milliseconds());
  }

  /** Tells whether the peer was heard within the given age in milliseconds. */
  public synchronized boolean isHeardWithin(Incarnation peer, long ageMilliseconds) {
    Heard last = heard.get(peer);
    return last != null && isWithin(last.milliseconds(), ageMilliseconds);
  }

  /** Tells whether every other member has said that it has folded the offset. */
  public boolean haveAllFolded(long offset) {
    List<MemberImage> members = agreed.members();
    synchronized (this) {
      for (MemberImage member : members) {
        Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
        Heard last = heard.get(incarnation);
        boolean folded = last != null && last.offset() >= offset;
        if (!folded && !incarnation.equals(self)) {
          return false;
        }
      }
    }
    return true;
  }

  /** Tells whether new work may be started now. */
  public boolean isFresh() {
    return isLogFresh() || isFreshByPeers();
  }

  private boolean isFreshByPeers() {
    List<Incarnation> others = presentOthers();
    long offset = agreed.offset();
    synchronized (this) {
      int heardOthers = 0;
      for (Incarnation incarnation : others) {
        Heard last = heard.get(incarnation);
        if (last == null || !isWithinLimit(last.milliseconds())) {
          continue;
        }
        if (last.offset() > offset) {
          return false;
        }
        heardOthers++;
      }
      return heardOthers * 2 > others.size();
    }
  }

  private List<Incarnation> presentOthers() {
    List<Incarnation> others = new ArrayList<>();
    for (MemberImage member : agreed.members()) {
      Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
      if (!incarnation.equals(self) && !listedGone.test(incarnation)) {
        others.add(incarnation);
      }
    }
    return others;
  }

  private boolean isWithinLimit(long provenMilliseconds) {
    return isWithin(provenMilliseconds, limitMilliseconds());
  }

  private boolean isWithin(long provenMilliseconds, long ageMilliseconds) {
    return provenMilliseconds != NEVER
        && timers.monotonicMilliseconds() - provenMilliseconds <= ageMilliseconds;
  }

  private record Heard(long milliseconds, long offset) {}
}
