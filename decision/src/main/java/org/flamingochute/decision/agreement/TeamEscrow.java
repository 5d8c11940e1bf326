package org.flamingochute.decision.agreement;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.schema.StatedHolding;
import org.flamingochute.schema.TeamEscrowImage;

/**
 * The escrow state of one team. Guarded by the lock of {@link EscrowTable}.
 *
 * <p>An epoch that was opened because of lost tokens is settled by issuing {@code cap - stated -
 * jobs running when it opened}. Until then members may run requests, start jobs and transfer tokens
 * in the new epoch, since none of these changes the sum of the tokens and the running jobs. An
 * epoch that was opened because the cap was lowered is suspended: nothing starts in it, so the
 * stated sum and the number of running jobs can only decrease, and it is settled once they fit
 * within the new cap.
 */
final class TeamEscrow {

  private final String team;
  private final Set<Incarnation> awaitedMembers = new LinkedHashSet<>();
  private final Map<Incarnation, Integer> statedTokens = new LinkedHashMap<>();
  private long epoch;
  private int cap;
  private int jobsRunning;
  private int jobsRunningAtEpoch;
  private long notBeforeMilliseconds;
  private boolean isSettled = true;
  private boolean suspended;

  TeamEscrow(String team) {
    this.team = team;
  }

  static TeamEscrow of(TeamEscrowImage image) {
    TeamEscrow escrow = new TeamEscrow(image.getTeam());
    escrow.epoch = image.getEpoch();
    escrow.cap = image.getCap();
    escrow.jobsRunning = image.getJobsRunning();
    escrow.jobsRunningAtEpoch = image.getJobsRunningAtEpoch();
    escrow.notBeforeMilliseconds = image.getNotBeforeMilliseconds();
    escrow.isSettled = image.getComplete();
    escrow.suspended = image.getSuspended();
    for (String member : image.getAwaitingList()) {
      if (Identifiers.isValid(member)) {
        escrow.awaitedMembers.add(new Incarnation(member));
      }
    }
    for (StatedHolding holding : image.getStatedList()) {
      if (Identifiers.isValid(holding.getIncarnation())) {
        escrow.statedTokens.put(new Incarnation(holding.getIncarnation()), holding.getTokens());
      }
    }
    return escrow;
  }

  TeamEscrowImage image() {
    TeamEscrowImage.Builder image =
        TeamEscrowImage.newBuilder()
            .setTeam(team)
            .setEpoch(epoch)
            .setCap(cap)
            .setJobsRunning(jobsRunning)
            .setJobsRunningAtEpoch(jobsRunningAtEpoch)
            .setNotBeforeMilliseconds(notBeforeMilliseconds)
            .setComplete(isSettled)
            .setSuspended(suspended);
    awaitedMembers.forEach(member -> image.addAwaiting(member.value()));
    statedTokens.forEach(
        (member, tokens) ->
            image.addStated(
                StatedHolding.newBuilder().setIncarnation(member.value()).setTokens(tokens)));
    return image.build();
  }

  long epoch() {
    return epoch;
  }

  int cap() {
    return cap;
  }

  int jobsRunning() {
    return jobsRunning;
  }

  boolean isSettled() {
    return isSettled;
  }

  boolean isSuspended() {
    return suspended;
  }

  long notBeforeMilliseconds() {
    return notBeforeMilliseconds;
  }

  void setCap(int newCap) {
    cap = newCap;
  }

  /**
   * Opens the next epoch. If the previous epoch is not settled, its suspension and its earliest
   * time of settlement remain in effect.
   *
   * @param members the members that must state their holdings
   * @param suspend whether the cap was lowered
   * @param newNotBeforeMilliseconds earliest time of the settlement, in milliseconds since the
   *     epoch; 0 for no restriction
   */
  void openEpoch(
      ApplyPosition position,
      Collection<Incarnation> members,
      boolean suspend,
      long newNotBeforeMilliseconds) {
    suspended = suspend || (suspended && !isSettled);
    notBeforeMilliseconds =
        isSettled
            ? newNotBeforeMilliseconds
            : Math.max(newNotBeforeMilliseconds, notBeforeMilliseconds);
    isSettled = false;
    epoch = position.offset() + 1;
    jobsRunningAtEpoch = jobsRunning;
    awaitedMembers.clear();
    awaitedMembers.addAll(members);
    statedTokens.clear();
  }

  /** Stores a member's statement; returns false if no such statement is due. */
  boolean acceptStatement(Incarnation member, int tokens) {
    if (isSettled || tokens < 0) {
      return false;
    }
    if (awaitedMembers.remove(member)) {
      statedTokens.put(member, tokens);
      return true;
    }
    Integer earlier = statedTokens.get(member);
    if (!suspended || earlier == null || tokens >= earlier) {
      return false;
    }
    statedTokens.put(member, tokens);
    return true;
  }

  /** Returns whether all conditions of the settlement are met. */
  boolean canSettleEpoch(ApplyPosition position) {
    if (isSettled
        || !awaitedMembers.isEmpty()
        || position.timeMilliseconds() < notBeforeMilliseconds) {
      return false;
    }
    return !suspended || unaccountedTokens() >= 0;
  }

  /** Settles the epoch; returns the number of tokens to issue. */
  int settleEpoch() {
    final long remainder = Math.max(0, unaccountedTokens());
    isSettled = true;
    suspended = false;
    notBeforeMilliseconds = 0;
    jobsRunningAtEpoch = 0;
    statedTokens.clear();
    return (int) Math.min(cap, remainder);
  }

  private long unaccountedTokens() {
    long total = suspended ? jobsRunning : jobsRunningAtEpoch;
    for (int tokens : statedTokens.values()) {
      total += tokens;
    }
    return cap - total;
  }

  void startJob() {
    jobsRunning++;
  }

  /**
   * Ends a job.
   *
   * @param hasMembers whether there is a member to which the token can be issued
   * @return whether a token must be issued for the ended job
   */
  boolean endJob(boolean hasMembers) {
    jobsRunning = Math.max(0, jobsRunning - 1);
    if (suspended) {
      return false;
    }
    if (!hasMembers) {
      jobsRunningAtEpoch = Math.max(0, jobsRunningAtEpoch - 1);
    }
    return hasMembers;
  }
}
