package org.flamingochute.engine.membership;

import java.util.List;
import java.util.function.Predicate;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.FreshnessMonitor;
import org.flamingochute.schema.MemberImage;

/**
 * Selects one member for work that only one member has to do.
 *
 * <p>The first reachable member in the order of joining is selected, or, for work with a topic, the
 * one with the largest hash. Members that cannot reach each other may both be selected; a duplicate
 * of the records that they write has no further effect.
 */
public final class MemberSelector {

  private final AgreedView agreed;
  private final FreshnessMonitor freshness;
  private final Predicate<Incarnation> isStopping;
  private final Incarnation self;

  /**
   * Creates a selector for one incarnation.
   *
   * @param isStopping returns whether a member, possibly this entry, has begun to stop and is not
   *     selected for a topic
   */
  public MemberSelector(
      AgreedView agreed,
      FreshnessMonitor freshness,
      Predicate<Incarnation> isStopping,
      Incarnation self) {
    this.agreed = agreed;
    this.freshness = freshness;
    this.isStopping = isStopping;
    this.self = self;
  }

  /** Returns whether this entry is the first reachable member. */
  public boolean isSelected() {
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
   * Returns whether this entry is the member selected for a topic. To spread the topics evenly, the
   * reachable member with the largest hash of topic and incarnation is selected (rendezvous
   * hashing).
   *
   * @param topic name of the work, for example the name of a pool
   */
  public boolean isSelectedFor(String topic) {
    if (!agreed.isMember(self) || isStopping.test(self)) {
      return false;
    }
    long ownWeight = weight(topic, self);
    List<MemberImage> members = agreed.members();
    for (MemberImage member : members) {
      Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
      boolean isCandidate = freshness.isReachable(incarnation) && !isStopping.test(incarnation);
      if (incarnation.equals(self) || !isCandidate) {
        continue;
      }
      if (weight(topic, incarnation) > ownWeight) {
        return false;
      }
    }
    return true;
  }

  private static long weight(String topic, Incarnation incarnation) {
    // The hash of String.hashCode with 64 bits and a large prime as its initial value.
    long hash = 1125899906842597L;
    String text = topic + "/" + incarnation;
    for (int i = 0; i < text.length(); i++) {
      hash = 31 * hash + text.charAt(i);
    }
    return HashMixer.mix(hash);
  }
}
