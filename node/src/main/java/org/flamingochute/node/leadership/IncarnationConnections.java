package org.flamingochute.node.leadership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.flamingochute.platform.http.ConnectionId;

/**
 * The connections on which one incarnation of a worker has responded, for commands that no other
 * incarnation may execute.
 *
 * <p>Commands name the worker but not the incarnation, and a new connection may lead to the next
 * one. A connection on which an incarnation has responded leads to it or to nobody. So before the
 * first command on a connection the incarnation is asked for its status there. Each connection is
 * handed to one command at a time. Used on one event loop.
 */
final class IncarnationConnections {
  /** Fewer than the connections to one address, of which one carries the renewals. */
  static final int MAXIMUM_CONNECTIONS = 4;

  /**
   * Time after which one more connection is opened for the commands that wait, since the response
   * on the first one may be lost; a worker returns its status at once.
   */
  private static final long HEDGING_DELAY_MILLISECONDS = 100;

  /** Opens connections. */
  interface Opener {
    /**
     * Asks the incarnation for its status; the result is the connection on which it has responded,
     * or empty if it has not.
     */
    CompletableFuture<Optional<ConnectionId>> open();
  }

  /** Runs actions later. */
  interface Timer {
    /** Runs an action after a delay. */
    void schedule(long delayMilliseconds, Runnable action);
  }

  private final Opener opener;
  private final Timer timer;
  private final Deque<ConnectionId> idle = new ArrayDeque<>();
  private final Queue<Consumer<Optional<ConnectionId>>> waiting = new ArrayDeque<>();
  private int openConnections;
  private int openingConnections;

  IncarnationConnections(Opener opener, Timer timer) {
    this.opener = opener;
    this.timer = timer;
  }

  /**
   * Passes a connection to a command, now or when one becomes idle. The command gets none if the
   * incarnation does not respond.
   */
  void acquire(Consumer<Optional<ConnectionId>> command) {
    if (!idle.isEmpty()) {
      command.accept(Optional.of(idle.pollLast()));
      return;
    }
    waiting.add(command);
    open();
  }

  /** Returns a connection on which a command was answered. */
  void release(ConnectionId connection) {
    idle.addLast(connection);
    serveWaiting();
  }

  /** Gives up a connection that was acquired, since it was closed or is used for other calls. */
  void discard() {
    openConnections--;
    if (!waiting.isEmpty()) {
      open();
    }
  }

  private void open() {
    if (openConnections + openingConnections >= MAXIMUM_CONNECTIONS) {
      return;
    }
    openingConnections++;
    opener.open().thenAccept(this::onOpened);
    timer.schedule(HEDGING_DELAY_MILLISECONDS, this::openIfNoneResponds);
  }

  private void openIfNoneResponds() {
    if (!waiting.isEmpty() && openingConnections > 0) {
      open();
    }
  }

  private void onOpened(Optional<ConnectionId> opened) {
    openingConnections--;
    if (opened.isPresent()) {
      openConnections++;
      release(opened.get());
    } else if (openingConnections == 0 && openConnections == 0) {
      rejectWaiting();
    }
  }

  private void serveWaiting() {
    while (!waiting.isEmpty() && !idle.isEmpty()) {
      waiting.poll().accept(Optional.of(idle.pollLast()));
    }
  }

  private void rejectWaiting() {
    List<Consumer<Optional<ConnectionId>>> rejected = new ArrayList<>(waiting);
    waiting.clear();
    rejected.forEach(command -> command.accept(Optional.empty()));
  }
}
