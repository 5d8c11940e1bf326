package org.flamingochute.decision.agreement;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.schema.MemberImage;
import org.flamingochute.schema.MemberJoined;

/**
 * The live members, and for a limited time those that are gone.
 *
 * <p>A gone incarnation is retained so that a late copy of its join record does not add it again.
 */
final class MemberTable {

  /** Time for which a member that is gone is retained, in milliseconds. */
  static final long GONE_RETENTION_MILLISECONDS = 3_600_000;

  /** Maximum number of gone members that are retained. */
  static final int MAXIMUM_GONE_MEMBERS = 1000;

  private final Map<Incarnation, MemberImage> live = new LinkedHashMap<>();
  private final Map<Incarnation, MemberImage> gone = new LinkedHashMap<>();
  private List<MemberImage> cachedMembers = List.of();

  /** Adds a member; an incarnation can join only once. */
  synchronized ApplyResult join(MemberJoined joined, ApplyPosition position) {
    Incarnation incarnation = new Incarnation(joined.getIncarnation());
    if (live.containsKey(incarnation) || gone.containsKey(incarnation)) {
      return ApplyResults.refused(ErrorCode.MEMBER_EXISTS, incarnation);
    }
    live.put(
        incarnation,
        MemberImage.newBuilder().setJoined(joined).setJoinedOffset(position.offset()).build());
    cachedMembers = null;
    return ApplyResults.accepted();
  }

  /** Removes a member. */
  synchronized ApplyResult remove(Incarnation incarnation, ApplyPosition position) {
    MemberImage member = live.remove(incarnation);
    if (member == null) {
      return ApplyResults.refused(ErrorCode.NOT_A_MEMBER, incarnation);
    }
    gone.put(
        incarnation,
        member.toBuilder().setGone(true).setGoneMilliseconds(position.timeMilliseconds()).build());
    cachedMembers = null;
    return ApplyResults.accepted();
  }

  synchronized boolean isMember(Incarnation incarnation) {
    return live.containsKey(incarnation);
  }

  /** Returns the live members in order of joining. */
  synchronized List<MemberImage> members() {
    if (cachedMembers == null) {
      cachedMembers = List.copyOf(live.values());
    }
    return cachedMembers;
  }

  /** Returns the live members' incarnations in order of joining. */
  synchronized List<Incarnation> incarnations() {
    return List.copyOf(live.keySet());
  }

  /** Removes expired and excess members that are gone. */
  synchronized void prune(ApplyPosition position) {
    Iterator<MemberImage> oldest = gone.values().iterator();
    while (oldest.hasNext()) {
      MemberImage member = oldest.next();
      boolean isExpired =
          position.isExpired(member.getGoneMilliseconds(), GONE_RETENTION_MILLISECONDS);
      if (!isExpired && gone.size() <= MAXIMUM_GONE_MEMBERS) {
        return;
      }
      oldest.remove();
    }
  }

  /** Returns the live members in order of joining, then the gone ones in order of removal. */
  synchronized List<MemberImage> image() {
    List<MemberImage> all = new ArrayList<>(live.values());
    all.addAll(gone.values());
    return all;
  }

  /** Replaces the content by that of an image. */
  synchronized void load(List<MemberImage> image) {
    live.clear();
    gone.clear();
    for (MemberImage member : image) {
      String incarnation = member.getJoined().getIncarnation();
      if (Identifiers.isValid(incarnation)) {
        (member.getGone() ? gone : live).put(new Incarnation(incarnation), member);
      }
    }
    cachedMembers = null;
  }
}
