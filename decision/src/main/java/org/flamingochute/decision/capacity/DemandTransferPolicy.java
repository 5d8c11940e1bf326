package org.flamingochute.decision.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Lets tokens follow the waiting requests.
 *
 * <p>An entry asks as soon as more requests of the team wait than it has tokens for. It asks for
 * the missing tokens and as many again as it has in use, up to a limit, so that a growing load does
 * not pay one round trip for each request. It asks the peers with most free tokens first. A peer
 * keeps what its own waiting requests need, and gives of the rest what was asked for, but leaves
 * itself one token for its next request as long as it gives at least one.
 *
 * <p>Reports are older than the time for which a token is in use. So an entry at which a token
 * comes free, and that does not need it, sends it to the peer that reported most requests without a
 * token.
 *
 * <p>Example: 3 requests wait, 1 token is free, 4 are in use: 2 are missing, and 2 + 4 = 6 are
 * asked for. A peer with 5 free tokens gives 4, and the next one is asked for the other 2.
 */
public final class DemandTransferPolicy implements TransferPolicy {

  private static final int MAXIMUM_AHEAD = 16;

  @Override
  public List<TokenAsk> asks(OwnTokens own, List<PeerTokens> peers) {
    int missing = own.waiting() - own.freeTokens() - own.asked();
    if (missing <= 0) {
      return List.of();
    }
    int wanted = missing + Math.min(own.inUse(), MAXIMUM_AHEAD);
    List<PeerTokens> lenders = new ArrayList<>(peers);
    lenders.sort(
        Comparator.comparingInt(DemandTransferPolicy::surplus)
            .reversed()
            .thenComparing(PeerTokens::peer));
    List<TokenAsk> asks = new ArrayList<>();
    for (PeerTokens lender : lenders) {
      int part = Math.min(wanted, surplus(lender));
      if (part <= 0) {
        break;
      }
      asks.add(new TokenAsk(lender.peer(), part));
      wanted -= part;
    }
    return asks;
  }

  @Override
  public int give(OwnTokens own, int wanted) {
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
  public List<TokenSurplus> surplusTransfers(OwnTokens own, List<PeerTokens> peers) {
    int spare = give(own, Integer.MAX_VALUE);
    List<PeerTokens> needy = new ArrayList<>(peers);
    needy.sort(
        Comparator.comparingInt(DemandTransferPolicy::surplus).thenComparing(PeerTokens::peer));
    List<TokenSurplus> surplusTransfers = new ArrayList<>();
    for (PeerTokens peer : needy) {
      int part = Math.min(spare, partOfNeed(peer, peers.size()));
      if (part <= 0) {
        break;
      }
      surplusTransfers.add(new TokenSurplus(peer.peer(), part));
      spare -= part;
    }
    return surplusTransfers;
  }

  /** Returns this entry's equal part, rounded up, of what a peer lacks. */
  private static int partOfNeed(PeerTokens peer, int givers) {
    int need = Math.max(0, -surplus(peer));
    return (need + givers - 1) / givers;
  }

  private static int surplus(PeerTokens peer) {
    return peer.freeTokens() - peer.waiting();
  }
}
