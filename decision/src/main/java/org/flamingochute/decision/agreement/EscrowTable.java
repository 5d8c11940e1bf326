package org.flamingochute.decision.agreement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.HoldingsStated;
import org.flamingochute.schema.TeamEscrowImage;
import org.flamingochute.schema.TeamHolding;
import org.flamingochute.schema.TeamSection;

/**
 * The escrow of caps in the agreed state: epochs, statements of holdings, and the issue of tokens.
 *
 * <p>For each team the sum of tokens held by members, tokens in transfer, lost tokens and running
 * jobs never exceeds the cap, except while a lowered cap is being settled; during that time nothing
 * starts.
 *
 * <p>Example: the cap is 10; A holds 4, B 3 and C 2, and one token is in transfer from A to C when
 * C's instance is lost. The record of that loss opens an epoch. A states 4 and B states 3. Once the
 * time in which work of C may still run has passed, 10 - 7 = 3 tokens are issued, two to A and one
 * to B.
 */
final class EscrowTable {

  private final MemberTable members;
  private final AgreementListener listener;
  private final Map<TeamId, TeamEscrow> escrows = new TreeMap<>();

  /** Escrows whose epoch is not settled; only these are checked on each record. */
  private final Map<TeamId, TeamEscrow> unsettled = new TreeMap<>();

  private FleetDescription description = FleetDescription.getDefaultInstance();

  EscrowTable(MemberTable members, AgreementListener listener) {
    this.members = members;
    this.listener = listener;
  }

  /** Applies the caps of a new description. */
  synchronized void descriptionChanged(FleetDescription after, ApplyPosition position) {
    description = after;
    for (TeamId team : List.copyOf(escrows.keySet())) {
      TeamEscrow escrow = escrows.get(team);
      boolean isBeingRemoved = escrow.cap() == 0 && escrow.isSuspended();
      if (!after.containsTeams(team.value()) && !isBeingRemoved) {
        lowerCap(team, 0, position);
      }
    }
    for (Map.Entry<String, TeamSection> entry : new TreeMap<>(after.getTeamsMap()).entrySet()) {
      changeCap(new TeamId(entry.getKey()), entry.getValue().getCap(), position);
    }
  }

  private void changeCap(TeamId team, int cap, ApplyPosition position) {
    TeamEscrow escrow = escrows.get(team);
    if (escrow == null) {
      addTeam(team, cap, position);
    } else if (cap < escrow.cap()) {
      lowerCap(team, cap, position);
    } else if (cap > escrow.cap()) {
      raiseCap(team, escrow, cap);
    }
  }

  private void addTeam(TeamId team, int cap, ApplyPosition position) {
    TeamEscrow escrow = new TeamEscrow(team.value());
    escrow.setCap(cap);
    escrows.put(team, escrow);
    escrow.openEpoch(position, List.of(), false, 0);
    unsettled.put(team, escrow);
    listener.escrowEpochOpened(team, escrow.epoch(), false);
  }

  private void lowerCap(TeamId team, int cap, ApplyPosition position) {
    TeamEscrow escrow = escrows.get(team);
    escrow.setCap(cap);
    openEpoch(team, escrow, position, true, 0);
  }

  /**
   * Raises the cap. The difference is issued at once if the epoch is settled; an open epoch is
   * settled with the new cap.
   */
  private void raiseCap(TeamId team, TeamEscrow escrow, int cap) {
    int difference = cap - escrow.cap();
    escrow.setCap(cap);
    if (escrow.isSettled()) {
      issueTokens(team, escrow, difference);
    }
  }

  /**
   * Opens a new epoch for every team, because tokens of the removed member may be lost.
   *
   * @param notBeforeMilliseconds earliest time at which the missing tokens are issued, in
   *     milliseconds since the epoch; 0 for no restriction
   */
  synchronized void memberRemoved(ApplyPosition position, long notBeforeMilliseconds) {
    escrows.forEach(
        (team, escrow) -> openEpoch(team, escrow, position, false, notBeforeMilliseconds));
  }

  private void openEpoch(
      TeamId team, TeamEscrow escrow, ApplyPosition position, boolean suspend, long notBefore) {
    escrow.openEpoch(position, members.incarnations(), suspend, notBefore);
    unsettled.put(team, escrow);
    listener.escrowEpochOpened(team, escrow.epoch(), escrow.isSuspended());
  }

  /** Handles a member's statement of its holdings for one or more teams. */
  synchronized ApplyResult acceptStatement(HoldingsStated statement) {
    Incarnation member = new Incarnation(statement.getIncarnation());
    boolean anyAccepted = false;
    for (TeamHolding holding : statement.getHoldingsList()) {
      anyAccepted |= acceptHolding(member, holding);
    }
    if (!anyAccepted) {
      return ApplyResults.refused(ErrorCode.STATEMENT_NOT_DUE, member);
    }
    return ApplyResults.accepted();
  }

  private boolean acceptHolding(Incarnation member, TeamHolding holding) {
    if (!Identifiers.isValid(holding.getTeam())) {
      return false;
    }
    TeamId team = new TeamId(holding.getTeam());
    TeamEscrow escrow = escrows.get(team);
    if (escrow == null || escrow.epoch() != holding.getEpoch()) {
      return false;
    }
    if (!escrow.acceptStatement(member, holding.getTokens())) {
      return false;
    }
    listener.holdingStated(team, escrow.epoch(), member, holding.getTokens());
    return true;
  }

  /** Returns the reason why an attempt may not start with a token of the given epoch, if any. */
  synchronized Optional<ApplyResult> startRefusal(TeamId team, long epoch) {
    TeamEscrow escrow = escrows.get(team);
    if (escrow == null) {
      return Optional.of(ApplyResults.refused(ErrorCode.TEAM_UNKNOWN, team));
    }
    if (escrow.epoch() != epoch) {
      return Optional.of(ApplyResults.refused(ErrorCode.ESCROW_STALE, epoch, team, escrow.epoch()));
    }
    if (escrow.isSuspended()) {
      return Optional.of(ApplyResults.refused(ErrorCode.ESCROW_SUSPENDED, team));
    }
    return Optional.empty();
  }

  /** Converts a token that the placer debited into a running job. */
  synchronized void jobStarted(TeamId team) {
    escrows.get(team).startJob();
  }

  /**
   * Converts a running job into a token, issued to the preferred member if it is live, or else to
   * the member that joined first.
   */
  synchronized void jobEnded(TeamId team, Optional<Incarnation> preferred) {
    TeamEscrow escrow = escrows.get(team);
    if (escrow == null) {
      return;
    }
    Optional<Incarnation> receiver = preferred.filter(members::isMember);
    if (receiver.isEmpty()) {
      receiver = members.incarnations().stream().findFirst();
    }
    if (escrow.endJob(receiver.isPresent())) {
      listener.tokensIssued(team, escrow.epoch(), Map.of(receiver.get(), 1));
    }
  }

  /** Closes every epoch that can be settled now. */
  synchronized void closeDueEpochs(ApplyPosition position) {
    for (TeamId team : List.copyOf(unsettled.keySet())) {
      TeamEscrow escrow = unsettled.get(team);
      boolean isRemoved = !description.containsTeams(team.value());
      boolean hasReceiver = isRemoved || !members.members().isEmpty();
      if (!hasReceiver || !escrow.canSettleEpoch(position)) {
        continue;
      }
      closeEpoch(team, escrow);
      if (isRemoved) {
        escrows.remove(team);
      }
    }
  }

  private void closeEpoch(TeamId team, TeamEscrow escrow) {
    int tokens = escrow.settleEpoch();
    unsettled.remove(team);
    listener.escrowEpochClosed(team, escrow.epoch());
    issueTokens(team, escrow, tokens);
  }

  /** Issues tokens in equal parts to the members; those that joined first get the remainder. */
  private void issueTokens(TeamId team, TeamEscrow escrow, int tokens) {
    List<Incarnation> receivers = members.incarnations();
    if (tokens == 0 || receivers.isEmpty()) {
      return;
    }
    int equalPart = tokens / receivers.size();
    int remainder = tokens % receivers.size();
    Map<Incarnation, Integer> parts = new LinkedHashMap<>();
    for (int i = 0; i < receivers.size(); i++) {
      int part = equalPart + (i < remainder ? 1 : 0);
      if (part > 0) {
        parts.put(receivers.get(i), part);
      }
    }
    listener.tokensIssued(team, escrow.epoch(), parts);
  }

  /**
   * Returns the first time after the given one at which the delay of an unsettled epoch ends, or -1
   * if there is none.
   */
  synchronized long nextSettlementMilliseconds(long timeMilliseconds) {
    long next = -1;
    for (TeamEscrow escrow : unsettled.values()) {
      long due = escrow.notBeforeMilliseconds();
      boolean isAhead = due > timeMilliseconds;
      if (isAhead && (next < 0 || due < next)) {
        next = due;
      }
    }
    return next;
  }

  /** Returns the escrow of a team, including a removed team that is not settled yet. */
  synchronized Optional<TeamEscrowImage> escrow(TeamId team) {
    return Optional.ofNullable(escrows.get(team)).map(TeamEscrow::image);
  }

  /** Returns all escrows, including those of removed teams that are not settled yet. */
  synchronized List<TeamEscrowImage> image() {
    return escrows.values().stream().map(TeamEscrow::image).toList();
  }

  /** Replaces the content by that of an image. */
  synchronized void load(FleetDescription newDescription, List<TeamEscrowImage> image) {
    description = newDescription;
    escrows.clear();
    unsettled.clear();
    for (TeamEscrowImage escrow : image) {
      if (Identifiers.isValid(escrow.getTeam())) {
        loadEscrow(new TeamId(escrow.getTeam()), TeamEscrow.of(escrow));
      }
    }
  }

  private void loadEscrow(TeamId team, TeamEscrow escrow) {
    escrows.put(team, escrow);
    if (!escrow.isSettled()) {
      unsettled.put(team, escrow);
    }
  }
}
