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
 * What the fold knows of one team's tokens. Guarded by {@link EscrowTable}.
 *
 * <p>An epoch that was opened for lost tokens is settled by {@code cap - stated - jobs running when
 * it opened}: members go on to work, start jobs and transfer tokens in the new epoch meanwhile, and
 * none of that changes the sum that was stated. An epoch that was opened because the cap was
 * lowered is suspended: nothing starts in it, so statements and jobs only fall, and it is settled
 * when they fit the new cap.
 */
final class TeamEscrow {

  private final String team;
  private final Set<Incarnation> awaiting = new LinkedHashSet<>();
  private final Map<Incarnation, Integer> stated = new LinkedHashMap<>();
  private long epoch;
  private int cap;
  private int jobsRunning;
  private int jobsRunningAtEpoch;
  private long notBeforeMilliseconds;
  private boolean complete = true;
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
    escrow.complete = image.getComplete();
    escrow.suspended = image.getSuspended();
    for (String member : image.getAwaitingList()) {
      if (Identifiers.isValid(member)) {
        escrow.awaiting.add(new Incarnation(member));
      }
    }
    for (StatedHolding holding : image.getStatedList()) {
      if (Identifiers.isValid(holding.getIncarnation())) {
        escrow.stated.put(new Incarnation(holding.getIncarnation()), holding.getTokens());
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
            .setComplete(complete)
            .setSuspended(suspended);
    awaiting.forEach(member -> image.addAwaiting(member.value()));
    stated.forEach(
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

  boolean isComplete() {
    return complete;
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
   * Opens the next epoch. A suspension and a time that were not settled go on.
   *
   * @param members those that must state their holdings
   * @param suspend true when the cap was lowered
   * @param notBefore earliest time of the settlement, 0 for any
   */
  void open(
      FoldPosition position, Collection<Incarnation> members, boolean suspend, long notBefore) {
    suspended = suspend || (suspended && !complete);
    notBeforeMilliseconds = complete ? notBefore : Math.max(notBefore, notBeforeMilliseconds);
    complete = false;
    epoch = position.offset() + 1;
    jobsRunningAtEpoch = jobsRunning;
    awaiting.clear();
    awaiting.addAll(members);
    stated.clear();
  }

  /** Takes a statement; returns false when none of this kind is due. */
  boolean state(Incarnation member, int tokens) {
    if (complete || tokens < 0) {
      return false;
    }
    if (awaiting.remove(member)) {
      stated.put(member, tokens);
      return true;
    }
    Integer earlier = stated.get(member);
    if (!suspended || earlier == null || tokens >= earlier) {
      return false;
    }
    stated.put(member, tokens);
    return true;
  }

  /** Tells whether everything is known that the settlement needs. */
  boolean canClose(FoldPosition position) {
    if (complete || !awaiting.isEmpty() || position.timeMilliseconds() < notBeforeMilliseconds) {
      return false;
    }
    return !suspended || remainder() >= 0;
  }

  /** Settles the epoch; returns the tokens to mint. */
  int close() {
    final long remainder = Math.max(0, remainder());
    complete = true;
    suspended = false;
    notBeforeMilliseconds = 0;
    jobsRunningAtEpoch = 0;
    stated.clear();
    return (int) Math.min(cap, remainder);
  }

  private long remainder() {
    long total = suspended ? jobsRunning : jobsRunningAtEpoch;
    for (int tokens : stated.values()) {
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
   * @param hasMembers whether a member is there to take the token
   * @return true when a token is to be minted for it
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
