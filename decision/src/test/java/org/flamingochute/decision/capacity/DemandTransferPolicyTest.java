package org.flamingochute.decision.capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.flamingochute.decision.identity.Incarnation;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DemandTransferPolicyTest {

  private final DemandTransferPolicy policy = new DemandTransferPolicy();

  @ParameterizedTest
  @CsvSource({
    "1,4,3,0,5 0,2 0,peer-0:5 peer-1:1",
    "3,4,3,0,5 0,2 0,''",
    "0,0,1,0,5 0,2 0,peer-0:1",
    "0,0,1,1,5 0,2 0,''",
    "0,0,4,0,2 0,5 0,peer-1:4",
    "0,0,4,0,5 4,2 0,peer-1:2 peer-0:1",
    "0,0,4,0,0 0,0 3,''",
  })
  void requestsMissingTokens(
      int free,
      int inUse,
      int waiting,
      int requested,
      String first,
      String second,
      String expected) {
    List<PeerTokens> peers = new ArrayList<>();
    for (String text : List.of(first, second)) {
      String[] parts = text.split(" ");
      Incarnation peer = new Incarnation("peer-" + peers.size());
      peers.add(new PeerTokens(peer, Integer.parseInt(parts[0]), Integer.parseInt(parts[1])));
    }
    List<TokenTransferRequest> requests =
        policy.transferRequests(new OwnTokens(free, inUse, waiting, requested), peers);
    String text =
        requests.stream()
            .map(request -> request.peer() + ":" + request.tokens())
            .collect(Collectors.joining(" "));
    assertThat(text, equalTo(expected));
  }

  @ParameterizedTest
  @CsvSource({
    "9,0,0 5,0 1,peer-0:3 peer-1:1",
    "3,0,0 5,0 1,peer-0:2",
    "6,0,0 2,0 3,peer-1:2 peer-0:1",
    "1,0,0 0,0 4,peer-1:1",
    "1,1,0 5,0 5,''",
    "4,0,3 2,5 0,''",
  })
  void sendsSurplusToPeersWithWaitingRequests(
      int free, int waiting, String first, String second, String expected) {
    List<PeerTokens> peers = new ArrayList<>();
    for (String text : List.of(first, second)) {
      String[] parts = text.split(" ");
      Incarnation peer = new Incarnation("peer-" + peers.size());
      peers.add(new PeerTokens(peer, Integer.parseInt(parts[0]), Integer.parseInt(parts[1])));
    }
    String text =
        policy.surplusTransfers(new OwnTokens(free, 0, waiting, 0), peers).stream()
            .map(surplus -> surplus.peer() + ":" + surplus.tokens())
            .collect(Collectors.joining(" "));
    assertThat(text, equalTo(expected));
  }

  @ParameterizedTest
  @CsvSource({"5,0,6,4", "5,0,2,2", "1,0,3,1", "0,0,3,0", "5,4,3,1", "5,6,3,0", "5,0,0,0"})
  void grantsTokensThatItDoesNotNeed(int free, int waiting, int wanted, int expected) {
    assertThat(policy.tokensToGrant(new OwnTokens(free, 0, waiting, 0), wanted), equalTo(expected));
  }
}
