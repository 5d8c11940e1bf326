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
import org.flamingochute.decision.agreement.FoldResult;
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
 * The tokens of one member. Work of a team starts only with a token in hand.
 *
 * <p>The ledger follows the fold as a listener: it enters epochs, receives what is minted, and
 * learns what became of its attempts. A token leaves the ledger before the frame or the record that
 * carries it is made, and a transfer is credited once by its number, so a token is never in two
 * places; at worst it is in none until the next epoch.
 *
 * <p>Example: A holds 4 and B asks for 2. {@link #debitForTransfer} at A leaves 2 and gives
 * transfer 17, which A sends until B acknowledges it. B credits 2 at the first copy and only
 * acknowledges the others. When an epoch opens before B has seen the transfer, B credits nothing,
 * neither member states the two tokens, and the fold mints them again.
 *
 * <p>Safe for use by several threads: the teams are spread over shards, each under its own lock.
 */
public final class EscrowLedger implements AgreementListener {

  private final Incarnation self;
  private final AgreedView agreed;
  private final List<LedgerShard> shards;
  private final OutgoingTransfers outgoing = new OutgoingTransfers();
  private final Map<Incarnation, ReceivedSequences> received = new HashMap<>();
  private volatile boolean member;
  private volatile boolean retired;

  /**
   * Creates the ledger of a process start. It is to be added as a listener of the state before the
   * next record is folded.
   *
   * @param self the process start
   * @param shardCount number of locks that the teams are spread over
   * @param agreed the state that the ledger follows
   */
  public EscrowLedger(Incarnation self, int shardCount, AgreedView agreed) {
    this.self = self;
    this.agreed = agreed;
    this.shards = IntStream.range(0, shardCount).mapToObj(index -> new LedgerShard()).toList();
    stateReplaced();
  }

  private LedgerShard shard(TeamId team) {
    return shards.get(Math.floorMod(team.hashCode(), shards.size()));
  }

  /** Takes a free token for a request; false when there is none. */
  public boolean tryTake(TeamId team) {
    return !retired && shard(team).compute(team, HeldTokens::tryTake);
  }

  /** Gives a request's token back. */
  public void giveBack(TeamId team) {
    shard(team).update(team, HeldTokens::giveBack);
  }

  /**
   * Takes a free token for the record of an attempt. What becomes of it is learned from the fold.
   *
   * @return the escrow epoch for the record, or nothing when there is no token
   */
  public OptionalLong debitForAttempt(TeamId team) {
    if (retired) {
      return OptionalLong.empty();
    }
    return shard(team)
        .compute(
            team,
            tokens ->
                tokens.debitForAttempt() ? OptionalLong.of(tokens.epoch()) : OptionalLong.empty());
  }

  /**
   * Gives the token of an attempt back whose record was never appended and never will be. A record
   * that the fold refused needs no call.
   *
   * @param epoch the epoch that {@link #debitForAttempt} returned
   */
  public void creditRefusedAttempt(TeamId team, long epoch) {
    shard(team).update(team, tokens -> tokens.attemptRefused(epoch));
  }

  /**
   * Takes up to the wanted number of free tokens away to send them to a peer.
   *
   * @return the transfer to send now and, as {@link #unacknowledged} says, again; or nothing when
   *     no token is free
   */
  public Optional<OutgoingTransfer> debitForTransfer(
      TeamId team, int wanted, Incarnation receiver) {
    if (retired || receiver.equals(self) || !agreed.isMember(receiver)) {
      return Optional.empty();
    }
    Optional<TokenTransfer> debited = shard(team).compute(team, held -> debit(team, held, wanted));
    return debited.map(transfer -> outgoing.add(receiver, transfer));
  }

  private static Optional<TokenTransfer> debit(TeamId team, HeldTokens held, int wanted) {
    int tokens = held.debit(wanted);
    if (tokens == 0) {
      return Optional.empty();
    }
    return Optional.of(
        TokenTransfer.newBuilder()
            .setTeam(team.value())
            .setEpoch(held.epoch())
            .setTokens(tokens)
            .build());
  }

  /** Returns the transfers that are to be sent again. */
  public List<OutgoingTransfer> unacknowledged() {
    outgoing.retain(agreed::isMember);
    return outgoing.unacknowledged();
  }

  /** Takes a receiver's acknowledgement. */
  public void acknowledged(Incarnation receiver, TokenTransferAcknowledged acknowledgement) {
    outgoing.acknowledged(receiver, acknowledgement.getSequence());
  }

  /**
   * Takes a peer's transfer; credits it once, and only for the epoch in force here. A repeated one
   * is acknowledged again as credited.
   *
   * @return the acknowledgement to send, or nothing while this member has not folded as far as the
   *     sender; the sender repeats the transfer
   */
  public Optional<TokenTransferAcknowledged> receive(Incarnation sender, TokenTransfer transfer) {
    boolean isWellFormed =
        transfer.getSequence() > 0
            && transfer.getTokens() > 0
            && Identifiers.isValid(transfer.getTeam());
    if (retired || !member || !isWellFormed) {
      return Optional.empty();
    }
    synchronized (received) {
      ReceivedSequences sequences =
          received.computeIfAbsent(sender, absent -> new ReceivedSequences());
      if (sequences.contains(transfer.getSequence())) {
        return acknowledgement(transfer, true);
      }
      if (!sequences.hasRoomFor(transfer.getSequence())) {
        return Optional.empty();
      }
      TeamId team = new TeamId(transfer.getTeam());
      Optional<Boolean> credited = shard(team).compute(team, held -> credit(held, transfer));
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

  /** Returns whether the transfer was credited, or nothing when it is too early to tell. */
  private static Optional<Boolean> credit(HeldTokens held, TokenTransfer transfer) {
    boolean isAhead = transfer.getEpoch() > held.epoch();
    boolean isSettledAtSenderOnly = transfer.getEpoch() == held.epoch() && held.isSuspended();
    if (isAhead || isSettledAtSenderOnly) {
      return Optional.empty();
    }
    held.credit(transfer.getEpoch(), transfer.getTokens());
    return Optional.of(transfer.getEpoch() == held.epoch());
  }

  /** Returns the tokens with which work could start now. */
  public int free(TeamId team) {
    return retired ? 0 : shard(team).compute(team, HeldTokens::usable);
  }

  /** Returns the tokens that are in use by requests. */
  public int inUse(TeamId team) {
    return shard(team).compute(team, HeldTokens::inUse);
  }

  /** Returns all tokens that the member holds: free, in use, and debited for undecided attempts. */
  public int held(TeamId team) {
    return shard(team).compute(team, HeldTokens::held);
  }

  /** Returns the escrow epoch of a team as this member knows it; 0 for an unknown team. */
  public long epoch(TeamId team) {
    return shard(team).compute(team, HeldTokens::epoch);
  }

  /**
   * Returns the statement that is due, once; the caller appends it until it was folded. To be
   * called after every record that was folded and from time to time.
   */
  public Optional<HoldingsStated> takeStatement() {
    if (retired || !member) {
      return Optional.empty();
    }
    HoldingsStated.Builder statement = HoldingsStated.newBuilder().setIncarnation(self.value());
    for (LedgerShard shard : shards) {
      shard.forEach((team, tokens) -> addDue(statement, team, tokens));
    }
    return statement.getHoldingsCount() == 0 ? Optional.empty() : Optional.of(statement.build());
  }

  private static void addDue(HoldingsStated.Builder statement, TeamId team, HeldTokens tokens) {
    OptionalInt due = tokens.takeStatement();
    if (due.isPresent()) {
      statement.addHoldings(
          TeamHolding.newBuilder()
              .setTeam(team.value())
              .setEpoch(tokens.epoch())
              .setTokens(due.getAsInt()));
    }
  }

  @Override
  public void recordFolded(long offset, LogRecord record, FoldResult result) {
    if (!record.hasJobAttemptStarted()) {
      return;
    }
    JobAttemptStarted attempt = record.getJobAttemptStarted();
    if (!attempt.getIncarnation().equals(self.value()) || !Identifiers.isValid(attempt.getJob())) {
      return;
    }
    agreed
        .job(new JobId(attempt.getJob()))
        .ifPresent(job -> attemptFolded(job, attempt.getEscrowEpoch(), result));
  }

  private void attemptFolded(JobImage job, long epoch, FoldResult result) {
    TeamId team = new TeamId(job.getSubmitted().getTeam());
    switch (result) {
      case FoldResult.Accepted accepted ->
          shard(team).update(team, tokens -> tokens.attemptAccepted(epoch));
      case FoldResult.Refused refused ->
          shard(team).update(team, tokens -> tokens.attemptRefused(epoch));
      case FoldResult.Duplicate duplicate -> {
        // The first copy settled the token.
      }
      case FoldResult.Unreadable unreadable -> {
        // The token is lost until the next epoch.
      }
    }
  }

  @Override
  public void escrowEpochOpened(TeamId team, long epoch, boolean suspended) {
    shard(team).update(team, tokens -> tokens.open(epoch, suspended, member));
  }

  @Override
  public void holdingStated(TeamId team, long epoch, Incarnation stating, int tokens) {
    if (stating.equals(self)) {
      shard(team).update(team, held -> held.stated(epoch, tokens));
    }
  }

  @Override
  public void escrowEpochClosed(TeamId team, long epoch) {
    shard(team).update(team, tokens -> tokens.close(epoch));
  }

  @Override
  public void tokensMinted(TeamId team, long epoch, Map<Incarnation, Integer> tokens) {
    Integer minted = tokens.get(self);
    if (minted != null && !retired) {
      shard(team).update(team, held -> held.credit(epoch, minted));
    }
  }

  @Override
  public void memberJoined(Incarnation incarnation) {
    if (incarnation.equals(self)) {
      member = true;
    }
  }

  @Override
  public void memberRemoved(Incarnation incarnation) {
    outgoing.forget(incarnation);
    synchronized (received) {
      received.remove(incarnation);
    }
    if (incarnation.equals(self)) {
      retire();
    }
  }

  private void retire() {
    retired = true;
    member = false;
    shards.forEach(shard -> shard.forEach((team, tokens) -> tokens.retire()));
  }

  @Override
  public void stateReplaced() {
    boolean wasMember = member;
    member = agreed.isMember(self);
    if (wasMember && !member) {
      retire();
      return;
    }
    TreeSet<TeamId> teams = new TreeSet<>();
    shards.forEach(shard -> shard.forEach((team, tokens) -> teams.add(team)));
    agreed.description().getTeamsMap().keySet().stream().map(TeamId::new).forEach(teams::add);
    teams.forEach(this::catchUp);
    synchronized (received) {
      received.keySet().removeIf(sender -> !agreed.isMember(sender));
    }
  }

  private void catchUp(TeamId team) {
    TeamEscrowImage image = agreed.escrow(team).orElse(TeamEscrowImage.getDefaultInstance());
    boolean isAwaited = image.getAwaitingList().contains(self.value());
    shard(team)
        .update(team, tokens -> tokens.catchUp(image.getEpoch(), image.getSuspended(), isAwaited));
  }
}
