package org.flamingochute.entry.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.flamingochute.schema.PeerFrame;
import org.flamingochute.schema.TokenTransfer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests which frames are dropped when the queue is full. Gossip must be dropped before frames that
 * no newer frame replaces.
 */
class OutboundQueueTest {

  /** Returns a gossip frame for {@code g1} and a token transfer for {@code t1}. */
  private static PeerFrame frame(String name) {
    long sequence = Long.parseLong(name.substring(1));
    if (name.startsWith("g")) {
      return RawPeer.gossip("a", "b", sequence);
    }
    return PeerFrame.newBuilder()
        .setSender("a")
        .setReceiver("b")
        .setTokenTransfer(TokenTransfer.newBuilder().setSequence(sequence))
        .build();
  }

  static Stream<Arguments> overflowCases() {
    return Stream.of(
        arguments(List.of("g1", "t2", "g3"), 3, 0, List.of("g1", "t2", "g3")),
        arguments(List.of("t1", "g2", "t3", "g4"), 3, 1, List.of("t1", "t3", "g4")),
        arguments(List.of("t1", "t2", "t3", "g4"), 3, 1, List.of("t1", "t2", "t3")),
        arguments(List.of("t1", "t2", "t3", "t4"), 3, 1, List.of("t2", "t3", "t4")),
        arguments(List.of("g1", "g2", "g3", "g4", "g5"), 2, 3, List.of("g4", "g5")));
  }

  @ParameterizedTest
  @MethodSource("overflowCases")
  void oldestGossipIsDroppedBeforeOtherFrames(
      List<String> added, int limit, int expectedDropped, List<String> expectedRemaining) {
    OutboundQueue queue = new OutboundQueue(limit, 1000);
    int dropped = 0;
    for (String name : added) {
      dropped += queue.add(frame(name));
    }
    assertThat(dropped, equalTo(expectedDropped));
    List<PeerFrame> kept = new ArrayList<>();
    for (PeerFrame next = queue.poll(); next != null; next = queue.poll()) {
      kept.add(next);
    }
    assertThat(kept, equalTo(expectedRemaining.stream().map(OutboundQueueTest::frame).toList()));
    assertThat(queue.isEmpty(), is(true));
  }

  @ParameterizedTest
  @MethodSource("overflowCases")
  void queuedBytesAreLimited(
      List<String> added, int limit, int expectedDropped, List<String> expectedRemaining) {
    OutboundQueue queue = new OutboundQueue(100, 1);
    int dropped = 0;
    for (String name : added) {
      dropped += queue.add(frame(name));
    }
    assertThat(dropped, equalTo(added.size()));
    assertThat(queue.clear(), equalTo(0));
  }
}
