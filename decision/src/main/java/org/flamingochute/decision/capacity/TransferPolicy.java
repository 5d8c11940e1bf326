package org.flamingochute.decision.capacity;

import java.util.List;

/** Decides how many tokens of a team an entry asks others for, and how many it gives. */
public interface TransferPolicy {

  /**
   * Decides what to ask for.
   *
   * @param own this entry's tokens of the team
   * @param peers what the other members reported last
   */
  List<TokenAsk> asks(OwnTokens own, List<PeerTokens> peers);

  /**
   * Decides how many free tokens to give to an entry that asks.
   *
   * @param own this entry's tokens of the team
   * @param wanted how many tokens the other entry asks for
   * @return between 0 and the number of free tokens
   */
  int give(OwnTokens own, int wanted);

  /**
   * Decides what to send without being asked. Called when a token came free and when a report
   * arrived.
   *
   * @param own this entry's tokens of the team
   * @param peers what the other members reported last; the caller takes a peer that it sent to as
   *     having none waiting until the next report
   */
  default List<TokenSurplus> surplusTransfers(OwnTokens own, List<PeerTokens> peers) {
    return List.of();
  }
}
