package org.flamingochute.node.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.http.ConnectionId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how starts share the connections on which an incarnation of a worker has responded. */
class IncarnationConnectionsTest {
  private final List<CompletableFuture<Optional<ConnectionId>>> openings = new ArrayList<>();
  private final List<Runnable> timers = new ArrayList<>();
  private final List<Optional<ConnectionId>> acquired = new ArrayList<>();
  private final IncarnationConnections connections =
      new IncarnationConnections(this::open, (delay, action) -> timers.add(action));

  private CompletableFuture<Optional<ConnectionId>> open() {
    openings.add(new CompletableFuture<>());
    return openings.getLast();
  }

  private static Optional<ConnectionId> connection(long number) {
    return Optional.of(new ConnectionId(number));
  }

  private void acquire(int commands) {
    for (int i = 0; i < commands; i++) {
      connections.acquire(acquired::add);
    }
  }

  private void runTimers() {
    List<Runnable> due = List.copyOf(timers);
    timers.clear();
    due.forEach(Runnable::run);
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "3, 3", "4, 4", "20, 4"})
  void connectionIsOpenedForEachCommandUpToTheMaximum(int commands, int expectedOpenings) {
    acquire(commands);
    assertThat(openings, hasSize(expectedOpenings));
  }

  @Test
  void answeredConnectionServesTheNextCommand() {
    acquire(1);
    openings.getFirst().complete(connection(1));
    connections.release(new ConnectionId(1));
    acquire(1);
    assertThat(openings, hasSize(1));
    assertThat(acquired, contains(connection(1), connection(1)));
  }

  @Test
  void commandsBeyondTheMaximumWaitForAnAnsweredConnection() {
    acquire(5);
    openings.getFirst().complete(connection(1));
    assertThat(acquired, contains(connection(1)));
    connections.release(new ConnectionId(1));
    assertThat(acquired, contains(connection(1), connection(1)));
  }

  // Guards against starts that wait for the timeout of one lost response.
  @Test
  void anotherConnectionIsOpenedWhileTheFirstGetsNoResponse() {
    acquire(1);
    runTimers();
    openings.getLast().complete(connection(2));
    assertThat(openings, hasSize(2));
    assertThat(acquired, contains(connection(2)));
  }

  @Test
  void noMoreConnectionsAreOpenedThanTheMaximumWithoutResponses() {
    acquire(1);
    for (int i = 0; i < 9; i++) {
      runTimers();
    }
    assertThat(openings, hasSize(4));
  }

  @Test
  void commandsAreRejectedOnceNoOpeningIsLeft() {
    acquire(2);
    openings.getFirst().complete(Optional.empty());
    assertThat(acquired, empty());
    openings.getLast().complete(Optional.empty());
    assertThat(acquired, contains(Optional.empty(), Optional.empty()));
  }

  @Test
  void discardedConnectionIsReplacedForTheNextCommand() {
    acquire(5);
    openings.getFirst().complete(connection(1));
    connections.discard();
    assertThat(openings, hasSize(5));
  }

  // Guards against commands that wait for ever after their last connection was lost.
  @Test
  void commandsThatWaitAreRejectedAfterTheLastConnectionIsLost() {
    acquire(5);
    openings.get(0).complete(connection(1));
    for (int i = 1; i < 4; i++) {
      openings.get(i).complete(Optional.empty());
    }
    connections.discard();
    openings.getLast().complete(Optional.empty());
    assertThat(acquired, hasSize(5));
  }
}
