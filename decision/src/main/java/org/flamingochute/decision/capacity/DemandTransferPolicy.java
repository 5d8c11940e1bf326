package org.flamingochute.decision.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Transfers tokens to the entries where requests wait.
 *
 * <p>An entry requests tokens as soon as more requests of the team wait than it has free tokens. It
 * requests the missing tokens plus as many as it has in use, up to a limit, so that a growing load
 * does not need one round trip for each request. It first asks the peers with the most free tokens.
 * A peer keeps the tokens that its own waiting requests need and grants the request from the rest,
 * but keeps one more token for its next request as long as it can grant at least one.
 *
 * <p>Reports are older than the time for which a token is in use. So an entry with a released token
 * that it does not need sends it to the peer that reported the most requests without a token.
 *
 * <p>Example: 3 requests wait, 1 token is free, 4 are in use: 2 are missing, and the entry requests
 * 2 + 4 = 6. A peer with 5 free tokens grants 4, and the other 2 are requested from the next peer.
 */
public final class DemandTransferPolicy implements TransferPolicy {

  private static final int MAXIMUM_EXTRA_TOKENS = 16;

  @Override
  public List<TokenTransferRequest> transferRequests(OwnTokens own, List<PeerTokens> peers) {
    int missing = own.waiting() - own.freeTokens() - own.requested();
    if (missing <= 0) {
      return List.of();
    }
    int wanted = missing + Math.min(own.inUse(), MAXIMUM_EXTRA_TOKENS);
    List<PeerTokens> lenders = new ArrayList<>(peers);
    lenders.sort(
        Comparator.comparingInt(DemandTransferPolicy::surplus)
            .reversed()
            .thenComparing(PeerTokens::peer));
    List<TokenTransferRequest> transferRequests = new ArrayList<>();
    for (PeerTokens lender : lenders) {
      int tokens = Math.min(wanted, surplus(lender));
      if (tokens <= 0) {
        break;
      }
      transferRequests.add(new TokenTransferRequest(lender.peer(), tokens));
      wanted -= tokens;
    }
    return transferRequests;
  }

  @Override
  public int tokensToGrant(OwnTokens own, int wanted) {
    int spare = own.freeTokens() - own.waiting();
    if (spare <= 0 || wanted <= 0) {
      return 0;
    }
    if (spare > 1) {
      spare--;
    }
    return Math.min(spare, wanted);
  }

  @Override
  public List<SurplusTransfer> surplusTransfers(OwnTokens own, List<PeerTokens> peers) {
    int spare = tokensToGrant(own, Integer.MAX_VALUE);
    List<PeerTokens> peersByNeed = new ArrayList<>(peers);
    peersByNeed.sort(
        Comparator.comparingInt(DemandTransferPolicy::surplus).thenComparing(PeerTokens::peer));
    List<SurplusTransfer> surplusTransfers = new ArrayList<>();
    for (PeerTokens peer : peersByNeed) {
      int tokens = Math.min(spare, partOfNeed(peer, peers.size()));
      if (tokens <= 0) {
        break;
      }
      surplusTransfers.add(new SurplusTransfer(peer.peer(), tokens));
      spare -= tokens;
    }
    return surplusTransfers;
  }

  /** Returns this entry's equal part, rounded up, of the tokens that a peer needs. */
  private static int partOfNeed(PeerTokens peer, int senders) {
    int need = Math.max(0, -surplus(peer));
    return (need + senders - 1) / senders;
  }

  private static int surplus(PeerTokens peer) {
    return peer.freeTokens() - peer.waiting();
  }
}
