package org.flamingochute.decision.capacity;

import java.util.List;

/** Never transfers a token. A simple baseline to compare {@link DemandTransferPolicy} with. */
public final class StaticSplitPolicy implements TransferPolicy {

  @Override
  public List<TokenTransferRequest> transferRequests(OwnTokens own, List<PeerTokens> peers) {
    return List.of();
  }

  @Override
  public int tokensToGrant(OwnTokens own, int wanted) {
    return 0;
  }
}
