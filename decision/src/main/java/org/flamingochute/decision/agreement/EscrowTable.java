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
 * The fold's side of the escrow of caps: epochs, statements and the minting of tokens.
 *
 * <p>For each team the sum of tokens held by members, tokens in transfer, lost tokens and running
 * jobs never exceeds the cap, except while a lowered cap is being settled; and then nothing starts.
 *
 * <p>Example: cap 10; A holds 4, B 3, C 2, and one token is in transfer from A to C when C's
 * instance is gone. The record that says so opens an epoch. A states 4 and B states 3. When the
 * time has passed in which work of C may still run, the fold mints 10 - 7 = 3, two for A and one
 * for B.
 */
final class EscrowTable {

  private final MemberTable members;
  private final AgreementListener listener;
  private final Map<TeamId, TeamEscrow> escrows = new TreeMap<>();

  /** Escrows whose epoch is not settled; only these are visited at each record. */
  private final Map<TeamId, TeamEscrow> unsettled = new TreeMap<>();

  private FleetDescription description = FleetDescription.getDefaultInstance();

  EscrowTable(MemberTable members, AgreementListener listener) {
    this.members = members;
    this.listener = listener;
  }

  /** Follows the caps of a new description. */
  synchronized void descriptionChanged(FleetDescription after, FoldPosition position) {
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

  private void changeCap(TeamId team, int cap, FoldPosition position) {
    TeamEscrow escrow = escrows.get(team);
    if (escrow == null) {
      addTeam(team, cap, position);
    } else if (cap < escrow.cap()) {
      lowerCap(team, cap, position);
    } else if (cap > escrow.cap()) {
      raiseCap(team, escrow, cap);
    }
  }

  private void addTeam(TeamId team, int cap, FoldPosition position) {
    TeamEscrow escrow = new TeamEscrow(team.value());
    escrow.setCap(cap);
    escrows.put(team, escrow);
    escrow.open(position, List.of(), false, 0);
    unsettled.put(team, escrow);
    listener.escrowEpochOpened(team, escrow.epoch(), false);
  }

  private void lowerCap(TeamId team, int cap, FoldPosition position) {
    TeamEscrow escrow = escrows.get(team);
    escrow.setCap(cap);
    open(team, escrow, position, true, 0);
  }

  /** Mints the difference at once; an epoch that is open is settled with the new cap anyway. */
  private void raiseCap(TeamId team, TeamEscrow escrow, int cap) {
    int difference = cap - escrow.cap();
    escrow.setCap(cap);
    if (escrow.isComplete()) {
      mint(team, escrow, difference);
    }
  }

  /**
   * Opens a new epoch for every team, because tokens of a member may be lost.
   *
   * @param notBeforeMilliseconds earliest time at which the missing tokens are minted, 0 for any
   */
  synchronized void memberRemoved(FoldPosition position, long notBeforeMilliseconds) {
    escrows.forEach((team, escrow) -> open(team, escrow, position, false, notBeforeMilliseconds));
  }

  private void open(
      TeamId team, TeamEscrow escrow, FoldPosition position, boolean suspend, long notBefore) {
    escrow.open(position, members.incarnations(), suspend, notBefore);
    unsettled.put(team, escrow);
    listener.escrowEpochOpened(team, escrow.epoch(), escrow.isSuspended());
  }

  /** Takes what a member states for one or more teams. */
  synchronized FoldResult state(HoldingsStated statement) {
    Incarnation member = new Incarnation(statement.getIncarnation());
    boolean anyTaken = false;
    for (TeamHolding holding : statement.getHoldingsList()) {
      anyTaken |= stateOne(member, holding);
    }
    if (!anyTaken) {
      return FoldResults.refused(ErrorCode.STATEMENT_NOT_DUE, member);
    }
    return FoldResults.accepted();
  }

  private boolean stateOne(Incarnation member, TeamHolding holding) {
    if (!Identifiers.isValid(holding.getTeam())) {
      return false;
    }
    TeamId team = new TeamId(holding.getTeam());
    TeamEscrow escrow = escrows.get(team);
    if (escrow == null || escrow.epoch() != holding.getEpoch()) {
      return false;
    }
    if (!escrow.state(member, holding.getTokens())) {
      return false;
    }
    listener.holdingStated(team, escrow.epoch(), member, holding.getTokens());
    return true;
  }

  /** Returns why an attempt may not start with a token of the given epoch. */
  synchronized Optional<FoldResult> refusal(TeamId team, long epoch) {
    TeamEscrow escrow = escrows.get(team);
    if (escrow == null) {
      return Optional.of(FoldResults.refused(ErrorCode.TEAM_UNKNOWN, team));
    }
    if (escrow.epoch() != epoch) {
      return Optional.of(FoldResults.refused(ErrorCode.ESCROW_STALE, epoch, team, escrow.epoch()));
    }
    if (escrow.isSuspended()) {
      return Optional.of(FoldResults.refused(ErrorCode.ESCROW_SUSPENDED, team));
    }
    return Optional.empty();
  }

  /** Turns a token that its placer debited into a running job. */
  synchronized void jobStarted(TeamId team) {
    escrows.get(team).startJob();
  }

  /** Turns a running job into a token for the preferred member, or else for the first. */
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
      listener.tokensMinted(team, escrow.epoch(), Map.of(receiver.get(), 1));
    }
  }

  /** Settles every epoch that can be settled now. */
  synchronized void closeDue(FoldPosition position) {
    for (TeamId team : List.copyOf(unsettled.keySet())) {
      TeamEscrow escrow = unsettled.get(team);
      boolean isRemoved = !description.containsTeams(team.value());
      boolean hasReceiver = isRemoved || !members.members().isEmpty();
      if (!hasReceiver || !escrow.canClose(position)) {
        continue;
      }
      close(team, escrow);
      if (isRemoved) {
        escrows.remove(team);
      }
    }
  }

  private void close(TeamId team, TeamEscrow escrow) {
    int tokens = escrow.close();
    unsettled.remove(team);
    listener.escrowEpochClosed(team, escrow.epoch());
    mint(team, escrow, tokens);
  }

  /** Divides tokens equally among the members, with the rest to those that joined first. */
  private void mint(TeamId team, TeamEscrow escrow, int tokens) {
    List<Incarnation> receivers = members.incarnations();
    if (tokens == 0 || receivers.isEmpty()) {
      return;
    }
    int equalPart = tokens / receivers.size();
    int rest = tokens % receivers.size();
    Map<Incarnation, Integer> parts = new LinkedHashMap<>();
    for (int i = 0; i < receivers.size(); i++) {
      int part = equalPart + (i < rest ? 1 : 0);
      if (part > 0) {
        parts.put(receivers.get(i), part);
      }
    }
    listener.tokensMinted(team, escrow.epoch(), parts);
  }

  /** Returns the next time at which an epoch can be settled, or -1. */
  synchronized long nextDueMilliseconds(long timeMilliseconds) {
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

  /** Returns the escrow of a team, also of one that was removed and is not settled yet. */
  synchronized Optional<TeamEscrowImage> escrow(TeamId team) {
    return Optional.ofNullable(escrows.get(team)).map(TeamEscrow::image);
  }

  /** Returns all escrows, also those of removed teams that are not settled. */
  synchronized List<TeamEscrowImage> image() {
    return escrows.values().stream().map(TeamEscrow::image).toList();
  }

  /** Replaces everything by the content of an image. */
  synchronized void load(FleetDescription newDescription, List<TeamEscrowImage> image) {
    description = newDescription;
    escrows.clear();
    unsettled.clear();
    for (TeamEscrowImage escrow : image) {
      if (Identifiers.isValid(escrow.getTeam())) {
        loadOne(new TeamId(escrow.getTeam()), TeamEscrow.of(escrow));
      }
    }
  }

  private void loadOne(TeamId team, TeamEscrow escrow) {
    escrows.put(team, escrow);
    if (!escrow.isComplete()) {
      unsettled.put(team, escrow);
    }
  }
}
