package org.flamingochute.decision.agreement;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.ClaimImage;
import org.flamingochute.schema.IdempotencyClaimed;
import org.flamingochute.schema.IdempotencySettled;
import org.flamingochute.schema.Outcome;

/**
 * Claims of idempotency keys: for each key the one process that may dispatch the request.
 *
 * <p>The first claim in the order of the log wins. A claim that ends as not run frees the key; any
 * other end keeps it, with the answer when it is small. When the claiming process is gone, its open
 * claims end as unknown, because the request may have been dispatched.
 */
final class ClaimTable {

  /** Time for which an ended claim is kept after it was made, in milliseconds. */
  static final long RETENTION_MILLISECONDS = 86_400_000;

  /** Ended claims that are kept at most. */
  static final int ENDED_LIMIT = 20_000;

  /** Largest answer that is kept, in bytes. */
  static final int KEPT_ANSWER_BYTES = 2048;

  /** Sum of all kept answers, in bytes; older answers are dropped, their claims stay. */
  static final int KEPT_ANSWERS_TOTAL_BYTES = 4_194_304;

  private static final Comparator<Ended> BY_AGE =
      Comparator.comparingLong(Ended::claimedMilliseconds).thenComparing(Ended::key);

  private final Map<ClaimKey, ClaimImage> claims = new TreeMap<>();
  private final TreeSet<Ended> ended = new TreeSet<>(BY_AGE);
  private final TreeSet<Ended> withAnswer = new TreeSet<>(BY_AGE);
  private final Map<Incarnation, Integer> openByMember = new HashMap<>();
  private long keptAnswerBytes;

  synchronized FoldResult claim(IdempotencyClaimed claim, FoldPosition position) {
    ClaimKey key = ClaimKey.of(claim.getTeam(), claim.getIdempotencyKey());
    ClaimImage earlier = claims.get(key);
    if (earlier != null) {
      return refusal(key, earlier, claim);
    }
    claims.put(
        key,
        ClaimImage.newBuilder()
            .setClaim(claim)
            .setClaimedMilliseconds(position.timeMilliseconds())
            .build());
    openByMember.merge(new Incarnation(claim.getIncarnation()), 1, Integer::sum);
    return FoldResults.accepted();
  }

  private static FoldResult refusal(ClaimKey key, ClaimImage earlier, IdempotencyClaimed claim) {
    if (!earlier.getClaim().getRequestDigest().equals(claim.getRequestDigest())) {
      return FoldResults.refused(ErrorCode.CLAIM_OTHER_REQUEST, key.key(), key.team());
    }
    return FoldResults.refused(
        ErrorCode.CLAIM_TAKEN, key.key(), key.team(), earlier.getClaim().getIncarnation());
  }

  synchronized FoldResult settle(IdempotencySettled settled) {
    ClaimKey key = ClaimKey.of(settled.getTeam(), settled.getIdempotencyKey());
    ClaimImage claim = claims.get(key);
    boolean isHeld =
        claim != null
            && !claim.hasSettled()
            && claim.getClaim().getIncarnation().equals(settled.getIncarnation());
    if (!isHeld) {
      return FoldResults.refused(
          ErrorCode.CLAIM_UNKNOWN, key.key(), key.team(), settled.getIncarnation());
    }
    end(key, claim, settled);
    return FoldResults.accepted();
  }

  private void end(ClaimKey key, ClaimImage claim, IdempotencySettled settled) {
    Incarnation holder = new Incarnation(claim.getClaim().getIncarnation());
    openByMember.computeIfPresent(holder, (member, count) -> count > 1 ? count - 1 : null);
    if (settled.getOutcome() == Outcome.OUTCOME_NOT_RUN) {
      claims.remove(key);
      return;
    }
    ClaimImage image = claim.toBuilder().setSettled(limited(settled)).build();
    claims.put(key, image);
    index(key, image);
  }

  /** Leaves out an answer that is too large to keep. */
  private static IdempotencySettled limited(IdempotencySettled settled) {
    if (settled.getAnswerKept() && settled.getAnswerBody().size() <= KEPT_ANSWER_BYTES) {
      return settled;
    }
    return withoutAnswer(settled);
  }

  private static IdempotencySettled withoutAnswer(IdempotencySettled settled) {
    return settled.toBuilder().setAnswerBody(ByteString.EMPTY).setAnswerKept(false).build();
  }

  private void index(ClaimKey key, ClaimImage image) {
    Ended entry = new Ended(image.getClaimedMilliseconds(), key);
    ended.add(entry);
    int answerBytes = image.getSettled().getAnswerBody().size();
    if (answerBytes > 0) {
      withAnswer.add(entry);
      keptAnswerBytes += answerBytes;
    }
  }

  /** Ends the open claims of a member that is gone as unknown. */
  synchronized void memberRemoved(Incarnation member) {
    if (!openByMember.containsKey(member)) {
      return;
    }
    for (Map.Entry<ClaimKey, ClaimImage> entry : List.copyOf(claims.entrySet())) {
      IdempotencyClaimed claim = entry.getValue().getClaim();
      boolean isOpen = !entry.getValue().hasSettled();
      if (isOpen && claim.getIncarnation().equals(member.value())) {
        end(entry.getKey(), entry.getValue(), unknownEnd(claim));
      }
    }
  }

  private static IdempotencySettled unknownEnd(IdempotencyClaimed claim) {
    return IdempotencySettled.newBuilder()
        .setTeam(claim.getTeam())
        .setIdempotencyKey(claim.getIdempotencyKey())
        .setIncarnation(claim.getIncarnation())
        .setOutcome(Outcome.OUTCOME_UNKNOWN)
        .build();
  }

  /** Forgets ended claims that are old or too many, and the oldest answers above the limit. */
  synchronized void prune(FoldPosition position) {
    while (!ended.isEmpty()) {
      Ended oldest = ended.first();
      boolean isExpired = position.isExpired(oldest.claimedMilliseconds(), RETENTION_MILLISECONDS);
      if (!isExpired && ended.size() <= ENDED_LIMIT) {
        break;
      }
      dropAnswer(oldest);
      ended.remove(oldest);
      claims.remove(oldest.key());
    }
    while (keptAnswerBytes > KEPT_ANSWERS_TOTAL_BYTES) {
      dropAnswer(withAnswer.first());
    }
  }

  private void dropAnswer(Ended entry) {
    if (!withAnswer.remove(entry)) {
      return;
    }
    ClaimImage claim = claims.get(entry.key());
    keptAnswerBytes -= claim.getSettled().getAnswerBody().size();
    claims.put(
        entry.key(), claim.toBuilder().setSettled(withoutAnswer(claim.getSettled())).build());
  }

  synchronized Optional<ClaimImage> find(TeamId team, IdempotencyKey key) {
    return Optional.ofNullable(claims.get(new ClaimKey(team, key)));
  }

  synchronized List<ClaimImage> image() {
    return new ArrayList<>(claims.values());
  }

  /** Replaces everything by the content of an image. */
  synchronized void load(List<ClaimImage> image) {
    claims.clear();
    ended.clear();
    withAnswer.clear();
    openByMember.clear();
    keptAnswerBytes = 0;
    for (ClaimImage claim : image) {
      loadOne(claim);
    }
  }

  private void loadOne(ClaimImage image) {
    IdempotencyClaimed claim = image.getClaim();
    boolean isValid =
        Identifiers.isValid(claim.getTeam())
            && Identifiers.isValid(claim.getIdempotencyKey())
            && Identifiers.isValid(claim.getIncarnation());
    if (!isValid) {
      return;
    }
    ClaimKey key = ClaimKey.of(claim.getTeam(), claim.getIdempotencyKey());
    claims.put(key, image);
    if (image.hasSettled()) {
      index(key, image);
    } else {
      openByMember.merge(new Incarnation(claim.getIncarnation()), 1, Integer::sum);
    }
  }

  private record Ended(long claimedMilliseconds, ClaimKey key) {}

  private record ClaimKey(TeamId team, IdempotencyKey key) implements Comparable<ClaimKey> {

    static ClaimKey of(String team, String key) {
      return new ClaimKey(new TeamId(team), new IdempotencyKey(key));
    }

    @Override
    public int compareTo(ClaimKey other) {
      int byTeam = team.compareTo(other.team);
      return byTeam != 0 ? byTeam : key.compareTo(other.key);
    }
  }
}
