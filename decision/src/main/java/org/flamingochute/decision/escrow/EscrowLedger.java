package org.flamingochute.decision.escrow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.HoldingsStated;
import org.flamingochute.schema.JobAttemptStarted;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.TeamEscrowImage;
import org.flamingochute.schema.TeamHolding;
import org.flamingochute.schema.TokenTransfer;
import org.flamingochute.schema.TokenTransferAcknowledged;

/**
 * The tokens that one member holds for each team. A request or job of a team may start only if the
 * member holds a free token of that team.
 *
 * <p>The ledger listens to the agreed state: it is notified of new epochs, of tokens issued to this
 * member, and of whether the records of its job attempts were accepted. A token is debited before
 * the frame or the record that carries it is created, and each transfer is credited at most once,
 * identified by its sequence number. So a token is never counted in two places. A failure can only
 * lose it, and then the next epoch issues it again.
 *
 * <p>Example: A holds 4 and B requests 2. {@link #debitForTransfer} at A leaves 2 and returns
 * transfer 17, which A sends until B acknowledges it. B credits 2 on the first copy and only
 * acknowledges later copies. When an epoch opens before B has received the transfer, B credits
 * nothing, neither member states the two tokens, and the agreed state issues them again.
 *
 * <p>Thread-safe: the teams are distributed over shards, each with its own lock.
 */
public final class EscrowLedger implements AgreementListener {

  private final Incarnation self;
  private final AgreedView agreedView;
  private final List<LedgerShard> shards;
  private final OutgoingTransfers outgoing = new OutgoingTransfers();
  private final Map<Incarnation, ReceivedSequences> received = new HashMap<>();
  private volatile boolean isMember;
  private volatile boolean retired;

  /**
   * Creates the ledger of an incarnation. The caller must add it as a listener of the state before
   * the next record is applied.
   *
   * @param self the incarnation of this process
   * @param shardCount number of shards, and so of locks, that the teams are distributed over
   * @param agreedView the state that the ledger listens to
   */
  public EscrowLedger(Incarnation self, int shardCount, AgreedView agreedView) {
    this.self = self;
    this.agreedView = agreedView;
    this.shards = IntStream.range(0, shardCount).mapToObj(index -> new LedgerShard()).toList();
    stateReplaced();
  }

  private LedgerShard shardOf(TeamId team) {
    return shards.get(Math.floorMod(team.hashCode(), shards.size()));
  }

  /** Acquires a free token for a request; returns false if there is none. */
  public boolean tryAcquire(TeamId team) {
    return !retired && shardOf(team).compute(team, TokenAccount::tryAcquire);
  }

  /** Releases the token of a finished request. */
  public void release(TeamId team) {
    shardOf(team).update(team, TokenAccount::release);
  }

  /**
   * Debits a free token for the record of an attempt. The token is settled when that record is
   * applied.
   *
   * @return the escrow epoch for the record, or empty if there is no free token
   */
  public OptionalLong debitForAttempt(TeamId team) {
    if (retired) {
      return OptionalLong.empty();
    }
    return shardOf(team)
        .compute(
            team,
            account ->
                account.debitForAttempt()
                    ? OptionalLong.of(account.epoch())
                    : OptionalLong.empty());
  }

  /**
   * Credits the token of an attempt whose record was not appended and will not be. No call is
   * needed for a record that was refused when it was applied.
   *
   * @param epoch the epoch that {@link #debitForAttempt} returned
   */
  public void creditUnappendedAttempt(TeamId team, long epoch) {
    shardOf(team).update(team, account -> account.refundAttempt(epoch));
  }

  /**
   * Debits up to the wanted number of free tokens for a transfer to a peer.
   *
   * @return the transfer to send now, and to send again for as long as {@link
   *     #unacknowledgedTransfers} returns it; empty if no token is free
   */
  public Optional<OutgoingTransfer> debitForTransfer(
      TeamId team, int wanted, Incarnation receiver) {
    if (retired || receiver.equals(self) || !agreedView.isMember(receiver)) {
      return Optional.empty();
    }
    Optional<TokenTransfer> debited =
        shardOf(team).compute(team, account -> debit(team, account, wanted));
    return debited.map(transfer -> outgoing.add(receiver, transfer));
  }

  private static Optional<TokenTransfer> debit(TeamId team, TokenAccount account, int wanted) {
    int tokens = account.debit(wanted);
    if (tokens == 0) {
      return Optional.empty();
    }
    return Optional.of(
        TokenTransfer.newBuilder()
            .setTeam(team.value())
            .setEpoch(account.epoch())
            .setTokens(tokens)
            .build());
  }

  /** Returns the transfers to send again. */
  public List<OutgoingTransfer> unacknowledgedTransfers() {
    outgoing.retainReceivers(agreedView::isMember);
    return outgoing.unacknowledged();
  }

  /** Handles a receiver's acknowledgement of a transfer. */
  public void handleAcknowledgement(
      Incarnation receiver, TokenTransferAcknowledged acknowledgement) {
    outgoing.removeAcknowledged(receiver, acknowledgement.getSequence());
  }

  /**
   * Handles a peer's transfer: credits it once, and only if it belongs to the current epoch of this
   * member. A repeated transfer is acknowledged as credited, even if the first copy belonged to an
   * earlier epoch and was not credited.
   *
   * @return the acknowledgement to send; empty if the transfer is malformed, if this process is not
   *     a member, if too many earlier transfers of the sender are missing, or while this member has
   *     applied fewer records than the sender, which then sends the transfer again
   */
  public Optional<TokenTransferAcknowledged> handleTransfer(
      Incarnation sender, TokenTransfer transfer) {
    boolean isWellFormed =
        transfer.getSequence() > 0
            && transfer.getTokens() > 0
            && Identifiers.isValid(transfer.getTeam());
    if (retired || !isMember || !isWellFormed) {
      return Optional.empty();
    }
    synchronized (received) {
      ReceivedSequences sequences =
          received.computeIfAbsent(sender, absent -> new ReceivedSequences());
      if (sequences.contains(transfer.getSequence())) {
        return acknowledgement(transfer, true);
      }
      if (!sequences.canAdd(transfer.getSequence())) {
        return Optional.empty();
      }
      TeamId team = new TeamId(transfer.getTeam());
      Optional<Boolean> credited =
          shardOf(team).compute(team, account -> credit(account, transfer));
      if (credited.isEmpty()) {
        return Optional.empty();
      }
      sequences.add(transfer.getSequence());
      return acknowledgement(transfer, credited.get());
    }
  }

  private static Optional<TokenTransferAcknowledged> acknowledgement(
      TokenTransfer transfer, boolean credited) {
    return Optional.of(
        TokenTransferAcknowledged.newBuilder()
            .setSequence(transfer.getSequence())
            .setCredited(credited)
            .build());
  }

  /**
   * Returns whether the transfer was credited, or empty if this member has not yet applied the
   * record that opened or closed the sender's epoch.
   */
  private static Optional<Boolean> credit(TokenAccount account, TokenTransfer transfer) {
    boolean isAhead = transfer.getEpoch() > account.epoch();
    boolean isSettledAtSenderOnly = transfer.getEpoch() == account.epoch() && account.isSuspended();
    if (isAhead || isSettledAtSenderOnly) {
      return Optional.empty();
    }
    account.credit(transfer.getEpoch(), transfer.getTokens());
    return Optional.of(transfer.getEpoch() == account.epoch());
  }

  /** Returns the number of tokens with which requests or jobs could start now. */
  public int usableTokens(TeamId team) {
    return retired ? 0 : shardOf(team).compute(team, TokenAccount::usable);
  }

  /** Returns the number of tokens in use by requests. */
  public int tokensInUse(TeamId team) {
    return shardOf(team).compute(team, TokenAccount::inUse);
  }

  /**
   * Returns the number of tokens held: free, in use, and debited for unsettled attempts. Tokens in
   * use that this member no longer holds are not counted.
   */
  public int heldTokens(TeamId team) {
    return shardOf(team).compute(team, TokenAccount::held);
  }

  /** Returns the escrow epoch of a team as last applied here; 0 for an unknown team. */
  public long epoch(TeamId team) {
    return shardOf(team).compute(team, TokenAccount::epoch);
  }

  /**
   * Returns the pending statement of holdings and marks it as made; the caller appends it until it
   * has been applied. Must be called after every applied record and also periodically.
   */
  public Optional<HoldingsStated> pollStatement() {
    if (retired || !isMember) {
      return Optional.empty();
    }
    HoldingsStated.Builder statement = HoldingsStated.newBuilder().setIncarnation(self.value());
    for (LedgerShard shard : shards) {
      shard.forEach((team, account) -> addDueHolding(statement, team, account));
    }
    return statement.getHoldingsCount() == 0 ? Optional.empty() : Optional.of(statement.build());
  }

  private static void addDueHolding(
      HoldingsStated.Builder statement, TeamId team, TokenAccount account) {
    OptionalInt due = account.pollStatement();
    if (due.isPresent()) {
      statement.addHoldings(
          TeamHolding.newBuilder()
              .setTeam(team.value())
              .setEpoch(account.epoch())
              .setTokens(due.getAsInt()));
    }
  }

  @Override
  public void recordApplied(long offset, LogRecord record, ApplyResult result) {
    if (!record.hasJobAttemptStarted()) {
      return;
    }
    JobAttemptStarted attempt = record.getJobAttemptStarted();
    if (!attempt.getIncarnation().equals(self.value()) || !Identifiers.isValid(attempt.getJob())) {
      return;
    }
    agreedView
        .job(new JobId(attempt.getJob()))
        .ifPresent(job -> settleAttempt(job, attempt.getEscrowEpoch(), result));
  }

  private void settleAttempt(JobImage job, long epoch, ApplyResult result) {
    TeamId team = new TeamId(job.getSubmitted().getTeam());
    switch (result) {
      case ApplyResult.Accepted accepted ->
          shardOf(team).update(team, account -> account.confirmAttempt(epoch));
      case ApplyResult.Refused refused ->
          shardOf(team).update(team, account -> account.refundAttempt(epoch));
      case ApplyResult.Duplicate duplicate -> {
        // The first copy of the record settled the token.
      }
      case ApplyResult.Unreadable unreadable -> {
        // The token stays debited until the next epoch opens.
      }
    }
  }

  @Override
  public void escrowEpochOpened(TeamId team, long epoch, boolean suspended) {
    shardOf(team).update(team, account -> account.openEpoch(epoch, suspended, isMember));
  }

  @Override
  public void holdingStated(TeamId team, long epoch, Incarnation member, int tokens) {
    if (member.equals(self)) {
      shardOf(team).update(team, account -> account.acceptStatement(epoch, tokens));
    }
  }

  @Override
  public void escrowEpochClosed(TeamId team, long epoch) {
    shardOf(team).update(team, account -> account.closeEpoch(epoch));
  }

  @Override
  public void tokensIssued(TeamId team, long epoch, Map<Incarnation, Integer> tokens) {
    Integer issued = tokens.get(self);
    if (issued != null && !retired) {
      shardOf(team).update(team, account -> account.credit(epoch, issued));
    }
  }

  @Override
  public void memberJoined(Incarnation incarnation) {
    if (incarnation.equals(self)) {
      isMember = true;
    }
  }

  @Override
  public void memberRemoved(Incarnation incarnation) {
    outgoing.removeReceiver(incarnation);
    synchronized (received) {
      received.remove(incarnation);
    }
    if (incarnation.equals(self)) {
      retire();
    }
  }

  private void retire() {
    retired = true;
    isMember = false;
    shards.forEach(shard -> shard.forEach((team, account) -> account.retire()));
  }

  @Override
  public void stateReplaced() {
    boolean wasMember = isMember;
    isMember = agreedView.isMember(self);
    if (wasMember && !isMember) {
      retire();
      return;
    }
    TreeSet<TeamId> teams = new TreeSet<>();
    shards.forEach(shard -> shard.forEach((team, account) -> teams.add(team)));
    agreedView.description().getTeamsMap().keySet().stream().map(TeamId::new).forEach(teams::add);
    teams.forEach(this::synchronizeWithState);
    synchronized (received) {
      received.keySet().removeIf(sender -> !agreedView.isMember(sender));
    }
  }

  private void synchronizeWithState(TeamId team) {
    TeamEscrowImage image = agreedView.escrow(team).orElse(TeamEscrowImage.getDefaultInstance());
    boolean isAwaited = image.getAwaitingList().contains(self.value());
    shardOf(team)
        .update(
            team,
            account ->
                account.synchronizeWithEpoch(image.getEpoch(), image.getSuspended(), isAwaited));
  }
}
