package org.flamingochute.decision.capacity;

import java.util.List;

/** Never moves a token. The plain baseline that {@link DemandTransferPolicy} is compared with. */
public final class StaticSplitPolicy implements TransferPolicy {

  @Override
  public List<TokenAsk> asks(OwnTokens own, List<PeerTokens> peers) {
    return List.of();
  }

  @Override
  public int give(OwnTokens own, int wanted) {
    return 0;
  }
}
