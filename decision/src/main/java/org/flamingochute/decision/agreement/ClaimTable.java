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
 * The claims of idempotency keys: for each key, the only process that may dispatch the request.
 *
 * <p>The first claim in log order wins. A claim that ends with the outcome "not run" is removed, so
 * the key can be claimed again. With any other outcome the claim is retained for a limited time,
 * with the response if that is small enough. When the claiming process is gone, its open claims end
 * with an unknown outcome, because the request may have been dispatched.
 */
final class ClaimTable {

  /** Time for which an ended claim is retained, counted from the claim, in milliseconds. */
  static final long RETENTION_MILLISECONDS = 86_400_000;

  /** Maximum number of ended claims that are retained. */
  static final int MAXIMUM_ENDED_CLAIMS = 20_000;

  /** Maximum size of a response that is stored, in bytes. */
  static final int MAXIMUM_RESPONSE_BYTES = 2048;

  /** Maximum total size of stored responses, in bytes; the oldest are dropped, not their claims. */
  static final int MAXIMUM_TOTAL_RESPONSE_BYTES = 4_194_304;

  private static final Comparator<EndedClaim> BY_AGE =
      Comparator.comparingLong(EndedClaim::claimedMilliseconds).thenComparing(EndedClaim::key);

  private final Map<ClaimKey, ClaimImage> claims = new TreeMap<>();
  private final TreeSet<EndedClaim> endedClaims = new TreeSet<>(BY_AGE);
  private final TreeSet<EndedClaim> claimsWithResponse = new TreeSet<>(BY_AGE);
  private final Map<Incarnation, Integer> openClaimsByMember = new HashMap<>();
  private long totalResponseBytes;

  synchronized ApplyResult claim(IdempotencyClaimed claim, ApplyPosition position) {
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
    openClaimsByMember.merge(new Incarnation(claim.getIncarnation()), 1, Integer::sum);
    return ApplyResults.accepted();
  }

  private static ApplyResult refusal(ClaimKey key, ClaimImage earlier, IdempotencyClaimed claim) {
    if (!earlier.getClaim().getRequestDigest().equals(claim.getRequestDigest())) {
      return ApplyResults.refused(ErrorCode.CLAIM_OTHER_REQUEST, key.key(), key.team());
    }
    return ApplyResults.refused(
        ErrorCode.CLAIM_TAKEN, key.key(), key.team(), earlier.getClaim().getIncarnation());
  }

  synchronized ApplyResult settle(IdempotencySettled settled) {
    ClaimKey key = ClaimKey.of(settled.getTeam(), settled.getIdempotencyKey());
    ClaimImage claim = claims.get(key);
    boolean isOpenClaimOfMember =
        claim != null
            && !claim.hasSettled()
            && claim.getClaim().getIncarnation().equals(settled.getIncarnation());
    if (!isOpenClaimOfMember) {
      return ApplyResults.refused(
          ErrorCode.CLAIM_UNKNOWN, key.key(), key.team(), settled.getIncarnation());
    }
    endClaim(key, claim, settled);
    return ApplyResults.accepted();
  }

  private void endClaim(ClaimKey key, ClaimImage claim, IdempotencySettled settled) {
    Incarnation holder = new Incarnation(claim.getClaim().getIncarnation());
    openClaimsByMember.computeIfPresent(holder, (member, count) -> count > 1 ? count - 1 : null);
    if (settled.getOutcome() == Outcome.OUTCOME_NOT_RUN) {
      claims.remove(key);
      return;
    }
    ClaimImage image = claim.toBuilder().setSettled(withoutLargeResponse(settled)).build();
    claims.put(key, image);
    index(key, image);
  }

  /** Removes a response that is too large to store. */
  private static IdempotencySettled withoutLargeResponse(IdempotencySettled settled) {
    if (settled.getAnswerKept() && settled.getAnswerBody().size() <= MAXIMUM_RESPONSE_BYTES) {
      return settled;
    }
    return withoutResponse(settled);
  }

  private static IdempotencySettled withoutResponse(IdempotencySettled settled) {
    return settled.toBuilder().setAnswerBody(ByteString.EMPTY).setAnswerKept(false).build();
  }

  private void index(ClaimKey key, ClaimImage image) {
    EndedClaim entry = new EndedClaim(image.getClaimedMilliseconds(), key);
    endedClaims.add(entry);
    int responseBytes = image.getSettled().getAnswerBody().size();
    if (responseBytes > 0) {
      claimsWithResponse.add(entry);
      totalResponseBytes += responseBytes;
    }
  }

  /** Ends the open claims of a removed member with an unknown outcome. */
  synchronized void memberRemoved(Incarnation member) {
    if (!openClaimsByMember.containsKey(member)) {
      return;
    }
    for (Map.Entry<ClaimKey, ClaimImage> entry : List.copyOf(claims.entrySet())) {
      IdempotencyClaimed claim = entry.getValue().getClaim();
      boolean isOpen = !entry.getValue().hasSettled();
      if (isOpen && claim.getIncarnation().equals(member.value())) {
        endClaim(entry.getKey(), entry.getValue(), unknownOutcome(claim));
      }
    }
  }

  private static IdempotencySettled unknownOutcome(IdempotencyClaimed claim) {
    return IdempotencySettled.newBuilder()
        .setTeam(claim.getTeam())
        .setIdempotencyKey(claim.getIdempotencyKey())
        .setIncarnation(claim.getIncarnation())
        .setOutcome(Outcome.OUTCOME_UNKNOWN)
        .build();
  }

  /** Removes expired and excess ended claims, and the oldest responses above the total size. */
  synchronized void prune(ApplyPosition position) {
    while (!endedClaims.isEmpty()) {
      EndedClaim oldest = endedClaims.first();
      boolean isExpired = position.isExpired(oldest.claimedMilliseconds(), RETENTION_MILLISECONDS);
      if (!isExpired && endedClaims.size() <= MAXIMUM_ENDED_CLAIMS) {
        break;
      }
      dropResponse(oldest);
      endedClaims.remove(oldest);
      claims.remove(oldest.key());
    }
    while (totalResponseBytes > MAXIMUM_TOTAL_RESPONSE_BYTES) {
      dropResponse(claimsWithResponse.first());
    }
  }

  private void dropResponse(EndedClaim entry) {
    if (!claimsWithResponse.remove(entry)) {
      return;
    }
    ClaimImage claim = claims.get(entry.key());
    totalResponseBytes -= claim.getSettled().getAnswerBody().size();
    claims.put(
        entry.key(), claim.toBuilder().setSettled(withoutResponse(claim.getSettled())).build());
  }

  synchronized Optional<ClaimImage> find(TeamId team, IdempotencyKey key) {
    return Optional.ofNullable(claims.get(new ClaimKey(team, key)));
  }

  synchronized List<ClaimImage> image() {
    return new ArrayList<>(claims.values());
  }

  /** Replaces the content by that of an image. */
  synchronized void load(List<ClaimImage> image) {
    claims.clear();
    endedClaims.clear();
    claimsWithResponse.clear();
    openClaimsByMember.clear();
    totalResponseBytes = 0;
    for (ClaimImage claim : image) {
      loadClaim(claim);
    }
  }

  private void loadClaim(ClaimImage image) {
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
      openClaimsByMember.merge(new Incarnation(claim.getIncarnation()), 1, Integer::sum);
    }
  }

  private record EndedClaim(long claimedMilliseconds, ClaimKey key) {}

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
