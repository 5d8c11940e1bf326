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
 * The processes that are members, and for a while those that were.
 *
 * <p>An incarnation that is gone is remembered, so that a late copy of its joining does not bring
 * it back.
 */
final class MemberTable {

  /** Time for which a member that is gone is remembered, in milliseconds. */
  static final long GONE_RETENTION_MILLISECONDS = 3_600_000;

  /** Members that are gone and remembered at most. */
  static final int GONE_LIMIT = 1000;

  private final Map<Incarnation, MemberImage> live = new LinkedHashMap<>();
  private final Map<Incarnation, MemberImage> gone = new LinkedHashMap<>();
  private List<MemberImage> liveCopy = List.of();

  /** Adds a member; an incarnation joins once only. */
  synchronized FoldResult join(MemberJoined joined, FoldPosition position) {
    Incarnation incarnation = new Incarnation(joined.getIncarnation());
    if (live.containsKey(incarnation) || gone.containsKey(incarnation)) {
      return FoldResults.refused(ErrorCode.MEMBER_EXISTS, incarnation);
    }
    live.put(
        incarnation,
        MemberImage.newBuilder().setJoined(joined).setJoinedOffset(position.offset()).build());
    liveCopy = null;
    return FoldResults.accepted();
  }

  /** Removes a member. */
  synchronized FoldResult remove(Incarnation incarnation, FoldPosition position) {
    MemberImage member = live.remove(incarnation);
    if (member == null) {
      return FoldResults.refused(ErrorCode.NOT_A_MEMBER, incarnation);
    }
    gone.put(
        incarnation,
        member.toBuilder().setGone(true).setGoneMilliseconds(position.timeMilliseconds()).build());
    liveCopy = null;
    return FoldResults.accepted();
  }

  synchronized boolean isMember(Incarnation incarnation) {
    return live.containsKey(incarnation);
  }

  /** Returns the live members in order of joining. */
  synchronized List<MemberImage> members() {
    if (liveCopy == null) {
      liveCopy = List.copyOf(live.values());
    }
    return liveCopy;
  }

  /** Returns the live members' incarnations in order of joining. */
  synchronized List<Incarnation> incarnations() {
    return List.copyOf(live.keySet());
  }

  /** Forgets members that went long ago. */
  synchronized void prune(FoldPosition position) {
    Iterator<MemberImage> oldest = gone.values().iterator();
    while (oldest.hasNext()) {
      MemberImage member = oldest.next();
      boolean isExpired =
          position.isExpired(member.getGoneMilliseconds(), GONE_RETENTION_MILLISECONDS);
      if (!isExpired && gone.size() <= GONE_LIMIT) {
        return;
      }
      oldest.remove();
    }
  }

  /** Returns the live members and then those that are gone, each in their order. */
  synchronized List<MemberImage> image() {
    List<MemberImage> all = new ArrayList<>(live.values());
    all.addAll(gone.values());
    return all;
  }

  /** Replaces everything by the content of an image. */
  synchronized void load(List<MemberImage> image) {
    live.clear();
    gone.clear();
    for (MemberImage member : image) {
      String incarnation = member.getJoined().getIncarnation();
      if (Identifiers.isValid(incarnation)) {
        (member.getGone() ? gone : live).put(new Incarnation(incarnation), member);
      }
    }
    liveCopy = null;
  }
}
