package org.flamingochute.decision.capacity;

import java.util.List;

/** Decides how many tokens of a team an entry requests from others and how many it grants. */
public interface TransferPolicy {

  /**
   * Decides how many tokens to request from which peers.
   *
   * @param own this entry's tokens of the team
   * @param peers the last reports of the other members
   */
  List<TokenTransferRequest> transferRequests(OwnTokens own, List<PeerTokens> peers);

  /**
   * Decides how many free tokens to grant to an entry that requests some.
   *
   * @param own this entry's tokens of the team
   * @param wanted number of tokens that the other entry requests
   * @return the number of tokens to grant, from 0 to the number of free tokens
   */
  int tokensToGrant(OwnTokens own, int wanted);

  /**
   * Decides which tokens to send without a request. Should be called when a token was released and
   * when a report arrived.
   *
   * @param own this entry's tokens of the team
   * @param peers the last reports of the other members; after sending tokens to a peer, the caller
   *     must set the number of its waiting requests to 0 until the next report
   */
  default List<SurplusTransfer> surplusTransfers(OwnTokens own, List<PeerTokens> peers) {
    return List.of();
  }
}
