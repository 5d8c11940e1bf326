package org.flamingochute.decision.escrow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.agreement.LogFixture;
import org.flamingochute.decision.fleet.FleetFixture;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.HoldingsStated;
import org.flamingochute.schema.TeamHolding;
import org.flamingochute.schema.TokenTransfer;
import org.flamingochute.schema.TokenTransferAcknowledged;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests two ledgers on one log. The team's cap is 10, so each starts with 5 tokens. */
class EscrowLedgerTest {

  private static final TeamId SHOP = new TeamId("shop");
  private static final Incarnation A = new Incarnation("a");
  private static final Incarnation B = new Incarnation("b");
  private static final int SHARDS = 4;

  private final LogFixture log = new LogFixture();
  private EscrowLedger first;
  private EscrowLedger second;

  @BeforeEach
  void join() {
    first = createLedger(A);
    second = createLedger(B);
    log.append(LogFixture.join("a"));
    log.append(LogFixture.join("b"));
    log.append(LogFixture.firstPatch());
  }

  private EscrowLedger createLedger(Incarnation incarnation) {
    EscrowLedger ledger = new EscrowLedger(incarnation, SHARDS, log.state);
    log.state.addListener(ledger);
    return ledger;
  }

  private void appendPendingStatements() {
    for (EscrowLedger ledger : List.of(first, second)) {
      Optional<HoldingsStated> due = ledger.pollStatement();
      due.ifPresent(statement -> log.append(LogFixture.statement(statement)));
    }
  }

  private void setCap(int cap) {
    log.patch(FleetFixture.set("team", "shop", "cap", String.valueOf(cap)));
  }

  private static void acquireTokens(EscrowLedger ledger, int count) {
    for (int i = 0; i < count; i++) {
      assertThat(ledger.tryAcquire(SHOP), equalTo(true));
    }
  }

  private TokenTransfer transfer(int tokens) {
    return first.debitForTransfer(SHOP, tokens, B).get().transfer();
  }

  @Test
  void transferIsCreditedOnceInAnyOrder() {
    TokenTransfer one = transfer(1);
    TokenTransfer two = transfer(3);
    second.handleTransfer(A, two);
    second.handleTransfer(A, one);
    second.handleTransfer(A, two);
    second.handleTransfer(A, one);
    assertThat(first.heldTokens(SHOP), equalTo(1));
    assertThat(second.heldTokens(SHOP), equalTo(9));
    assertThat(first.unacknowledgedTransfers(), hasSize(2));
    first.handleAcknowledgement(B, TokenTransferAcknowledged.newBuilder().setSequence(2).build());
    assertThat(first.unacknowledgedTransfers().get(0).transfer(), equalTo(one));
  }

  @ParameterizedTest
  @CsvSource({
    "0, shop, 1, 1, ",
    "-1, shop, 1, 1, ",
    "1, shop, 1, 0, ",
    "1, shop, 1, -4, ",
    "1, '', 1, 1, ",
    "1, shop, 99, 1, ",
    "1, shop, 1, 1, false",
  })
  void invalidOrOutdatedTransferIsNotCredited(
      long sequence, String team, long epoch, int tokens, Boolean credited) {
    TokenTransfer transfer =
        TokenTransfer.newBuilder()
            .setSequence(sequence)
            .setTeam(team)
            .setEpoch(epoch)
            .setTokens(tokens)
            .build();
    Optional<Boolean> acknowledgement =
        second.handleTransfer(A, transfer).map(TokenTransferAcknowledged::getCredited);
    assertThat(acknowledgement, equalTo(Optional.ofNullable(credited)));
    assertThat(second.heldTokens(SHOP), equalTo(5));
  }

  @Test
  void repeatedTransferOfLostMemberIsNotCreditedDuringItsRemoval() {
    TokenTransfer transfer = transfer(2);
    second.handleTransfer(A, transfer);
    log.state.addListener(
        new AgreementListener() {
          @Override
          public void memberRemoved(Incarnation incarnation) {
            second.handleTransfer(A, transfer);
          }
        });
    log.append(LogFixture.gone("a"));
    assertThat(second.heldTokens(SHOP), equalTo(7));
  }

  @Test
  void tokensOfLostMemberAreReissuedAfterDelay() {
    acquireTokens(first, 2);
    log.append(LogFixture.gone("a"));
    assertThat(first.tryAcquire(SHOP), equalTo(false));
    appendPendingStatements();
    assertThat(second.heldTokens(SHOP), equalTo(5));
    log.advance(35_000);
    log.append(LogFixture.tick());
    assertThat(second.heldTokens(SHOP), equalTo(10));
  }

  @Test
  void reissueDelayCoversRequestsStartedBeforeDeadlineWasLowered() {
    acquireTokens(first, 2);
    log.patch(FleetFixture.set("fleet", "", "maximum_request_milliseconds", "100"));
    log.append(LogFixture.gone("a"));
    appendPendingStatements();
    log.advance(30_000);
    log.append(LogFixture.tick());
    assertThat(second.heldTokens(SHOP), equalTo(5));
    log.advance(5_000);
    log.append(LogFixture.tick());
    assertThat(second.heldTokens(SHOP), equalTo(10));
  }

  @Test
  void reissueDelayIsShorterOnceEarlierRequestsHaveEnded() {
    log.patch(FleetFixture.set("fleet", "", "maximum_request_milliseconds", "100"));
    log.advance(35_100);
    log.append(LogFixture.gone("a"));
    appendPendingStatements();
    log.advance(5_100);
    log.append(LogFixture.tick());
    assertThat(second.heldTokens(SHOP), equalTo(10));
  }

  @Test
  void tokensOfLeavingMemberAreReissuedAtOnce() {
    first.debitForTransfer(SHOP, 5, B);
    log.append(LogFixture.leave("a"));
    appendPendingStatements();
    assertThat(second.heldTokens(SHOP), equalTo(10));
  }

  @Test
  void raisedCapIssuesTokensAtOnce() {
    setCap(13);
    assertThat(first.heldTokens(SHOP), equalTo(7));
    assertThat(second.heldTokens(SHOP), equalTo(6));
  }

  @Test
  void loweredCapBlocksStartsUntilRunningRequestsFit() {
    acquireTokens(first, 4);
    acquireTokens(second, 2);
    setCap(5);
    assertThat(second.tryAcquire(SHOP), equalTo(false));
    appendPendingStatements();
    assertThat(second.tryAcquire(SHOP), equalTo(false));
    first.release(SHOP);
    first.release(SHOP);
    appendPendingStatements();
    assertThat(first.heldTokens(SHOP) + second.heldTokens(SHOP), equalTo(5));
    assertThat(first.usableTokens(SHOP) + second.usableTokens(SHOP), equalTo(1));
  }

  @Test
  void loweredCapThatIsRaisedAgainLosesNoTokens() {
    acquireTokens(first, 4);
    setCap(1);
    appendPendingStatements();
    setCap(10);
    log.append(LogFixture.tick());
    assertThat(first.heldTokens(SHOP) + second.heldTokens(SHOP), equalTo(10));
  }

  @Test
  void restoredTeamCountsRunningRequests() {
    acquireTokens(first, 3);
    log.patch(FleetFixture.remove("team", "shop", ""), FleetFixture.remove("key", "shop-1", ""));
    appendPendingStatements();
    log.patch(
        FleetFixture.set("team", "shop", "share", "1"),
        FleetFixture.set("team", "shop", "cap", "4"));
    appendPendingStatements();
    assertThat(first.heldTokens(SHOP) + second.heldTokens(SHOP), equalTo(4));
    assertThat(first.usableTokens(SHOP) + second.usableTokens(SHOP), equalTo(1));
  }

  @Test
  void tokenOfAttemptIsSettledByAppliedRecord() {
    log.append(LogFixture.observe(LogFixture.instance("w1", "prints", "rack")));
    log.append(LogFixture.placer("prints", "a", 0));
    log.append(LogFixture.submit(LogFixture.job("j", true)));
    assertThat(first.debitForAttempt(SHOP), equalTo(OptionalLong.of(first.epoch(SHOP))));
    assertThat(first.debitForAttempt(SHOP).isPresent(), equalTo(true));
    assertThat(first.usableTokens(SHOP), equalTo(3));
    log.append(log.start("j", 1, "w1", "a", 1));
    log.append(log.start("j", 1, "w1", "a", 1));
    assertThat(first.heldTokens(SHOP), equalTo(4));
    assertThat(first.usableTokens(SHOP), equalTo(4));
  }

  @Test
  void pendingTokenIsNotCreditedAfterImage() {
    AgreedState laggingState = AgreedState.empty();
    laggingState.replaceWith(log.state.image());
    EscrowLedger ledger = new EscrowLedger(A, SHARDS, laggingState);
    laggingState.addListener(ledger);
    ledger.tokensIssued(SHOP, ledger.epoch(SHOP), Map.of(A, 5));
    ledger.debitForAttempt(SHOP);
    log.append(LogFixture.gone("b"));
    laggingState.replaceWith(log.state.image());
    assertThat(ledger.heldTokens(SHOP), equalTo(4));
    List<Integer> stated =
        ledger.pollStatement().get().getHoldingsList().stream()
            .filter(holding -> holding.getTeam().equals(SHOP.value()))
            .map(TeamHolding::getTokens)
            .toList();
    assertThat(stated, equalTo(List.of(4)));
  }

  @Test
  void threadsNeverHoldMoreThanTheCap() throws InterruptedException {
    AtomicInteger running = new AtomicInteger();
    AtomicInteger largest = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      threads.add(
          new Thread(() -> acquireAndTransferTokens(first, A, second, B, running, largest)));
      threads.add(
          new Thread(() -> acquireAndTransferTokens(second, B, first, A, running, largest)));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(largest.get(), lessThanOrEqualTo(10));
    assertThat(first.heldTokens(SHOP) + second.heldTokens(SHOP), equalTo(10));
  }

  private static void acquireAndTransferTokens(
      EscrowLedger mine,
      Incarnation self,
      EscrowLedger other,
      Incarnation peer,
      AtomicInteger running,
      AtomicInteger largest) {
    for (int i = 0; i < 2000; i++) {
      if (mine.tryAcquire(SHOP)) {
        largest.accumulateAndGet(running.incrementAndGet(), Math::max);
        running.decrementAndGet();
        mine.release(SHOP);
      }
      mine.debitForTransfer(SHOP, 1, peer)
          .flatMap(outgoing -> other.handleTransfer(self, outgoing.transfer()))
          .ifPresent(acknowledgement -> mine.handleAcknowledgement(peer, acknowledgement));
    }
  }
}
