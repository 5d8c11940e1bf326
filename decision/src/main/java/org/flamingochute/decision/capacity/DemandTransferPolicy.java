package org.flamingochute.decision.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Transfers tokens to the entries where requests wait.
 *
 * <p>An entry requests tokens when more requests of the team wait than it has tokens that are free
 * or already requested. It requests the missing tokens plus as many as it has in use, up to a
 * limit, so that a growing load does not need one round trip for each request. It requests from
 * each peer at most the surplus that the peer reported, which is its free tokens minus its waiting
 * requests, and starts with the largest surplus. A peer grants tokens from its current surplus. It
 * retains one of them for its next request, unless it has only one.
 *
 * <p>Reports are older than the time for which a token is in use. So an entry also sends tokens
 * that it would grant without a request, first to the peer that reported the most waiting requests
 * without a token. Each peer is sent an equal part of what it needs, since the other entries send
 * tokens to it too.
 *
 * <p>Example: 3 requests wait, 1 token is free, 4 are in use: 2 are missing, and the entry wants 2
 * + 4 = 6. It requests 5 from a peer that reported 5 free tokens and no waiting requests, and 1
 * from the next peer. The first peer grants 4 if its surplus is still 5.
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
    List<PeerTokens> peersBySurplus = new ArrayList<>(peers);
    peersBySurplus.sort(
        Comparator.comparingInt(DemandTransferPolicy::surplus)
            .reversed()
            .thenComparing(PeerTokens::peer));
    List<TokenTransferRequest> transferRequests = new ArrayList<>();
    for (PeerTokens peer : peersBySurplus) {
      int tokens = Math.min(wanted, surplus(peer));
      if (tokens <= 0) {
        break;
      }
      transferRequests.add(new TokenTransferRequest(peer.peer(), tokens));
      wanted -= tokens;
    }
    return transferRequests;
  }

  @Override
  public int tokensToGrant(OwnTokens own, int wanted) {
    int surplus = own.freeTokens() - own.waiting();
    if (surplus <= 0 || wanted <= 0) {
      return 0;
    }
    if (surplus > 1) {
      surplus--;
    }
    return Math.min(surplus, wanted);
  }

  @Override
  public List<SurplusTransfer> surplusTransfers(OwnTokens own, List<PeerTokens> peers) {
    int remaining = tokensToGrant(own, Integer.MAX_VALUE);
    List<PeerTokens> peersByNeed = new ArrayList<>(peers);
    peersByNeed.sort(
        Comparator.comparingInt(DemandTransferPolicy::surplus).thenComparing(PeerTokens::peer));
    List<SurplusTransfer> surplusTransfers = new ArrayList<>();
    for (PeerTokens peer : peersByNeed) {
      int tokens = Math.min(remaining, partOfNeed(peer, peers.size()));
      if (tokens <= 0) {
        break;
      }
      surplusTransfers.add(new SurplusTransfer(peer.peer(), tokens));
      remaining -= tokens;
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
