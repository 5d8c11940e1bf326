package org.flamingochute.engine.membership;

import java.util.List;
import java.util.function.Predicate;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.FreshnessMonitor;
import org.flamingochute.schema.MemberImage;

/**
 * Picks one member for work that needs doing once.
 *
 * <p>The first member in the order of joining that this entry hears does it. Members that do not
 * hear each other may both do it; the records that they write are such that a second one does no
 * harm.
 */
public final class MemberRank {

  private final AgreedView agreed;
  private final FreshnessMonitor freshness;
  private final Predicate<Incarnation> stopping;
  private final Incarnation self;

  /**
   * Creates the rank as one incarnation sees it.
   *
   * @param stopping tells whether a member, or this entry, has begun to stop and gets no new work
   */
  public MemberRank(
      AgreedView agreed,
      FreshnessMonitor freshness,
      Predicate<Incarnation> stopping,
      Incarnation self) {
    this.agreed = agreed;
    this.freshness = freshness;
    this.stopping = stopping;
    this.self = self;
  }

  /** Tells whether this entry is the first member that is heard. */
  public boolean isFirst() {
    for (MemberImage member : agreed.members()) {
      Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
      if (incarnation.equals(self)) {
        return true;
      }
      if (freshness.isReachable(incarnation)) {
        return false;
      }
    }
    return false;
  }

  /**
   * Tells whether this entry is the one that a topic falls to. Each topic falls to one of the heard
   * members, evenly spread: the one whose hash together with the topic is the largest.
   *
   * @param topic name of the work, for example of a pool
   */
  public boolean isFirstFor(String topic) {
    if (!agreed.isMember(self) || stopping.test(self)) {
      return false;
    }
    long own = weight(topic, self);
    List<MemberImage> members = agreed.members();
    for (MemberImage member : members) {
      Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
      boolean takesPart = freshness.isReachable(incarnation) && !stopping.test(incarnation);
      if (incarnation.equals(self) || !takesPart) {
        continue;
      }
      if (weight(topic, incarnation) > own) {
        return false;
      }
    }
    return true;
  }

  private static long weight(String topic, Incarnation incarnation) {
    long hash = 1125899906842597L;
    String text = topic + "/" + incarnation;
    for (int i = 0; i < text.length(); i++) {
      hash = 31 * hash + text.charAt(i);
    }
    return HashMixer.mix(hash);
  }
}
