package org.flamingochute.node.store;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.node.Moment;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreAppend;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreTopic;

/**
 * Appends what callers hand in, many records with one call.
 *
 * <p>Appending a record again does no harm, since the first definition of a job counts and a
 * withdrawal is a flag. So a call without an answer is repeated until the caller's time is up; then
 * the record's fate is unknown, and only a record whose calls were all refused is known not to be
 * stored. Runs on one event loop.
 */
public final class IntakeWriter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CALL_TIMEOUT_MILLISECONDS = 800;
  private static final long RETRY_MILLISECONDS = 40;
  private static final int RECORDS_PER_CALL = 256;
  private static final int BYTES_PER_CALL = 1 << 20;

  /** Time of failures after which the store counts as lost. */
  private static final long LOST_MILLISECONDS = 1_000;

  /** Time after the last failure from which the store is tried again. */
  private static final long PROBE_MILLISECONDS = 500;

  private final Eventloop loop;
  private final NodeClock clock;
  private final StoreClient store;
  private final Deque<Pending> waiting = new ArrayDeque<>();
  private boolean calling;
  private Optional<Moment> failingSince = Optional.empty();
  private Optional<Moment> failedAt = Optional.empty();

  /** Creates a writer. */
  public IntakeWriter(Eventloop loop, NodeClock clock, StoreClient store) {
    this.loop = loop;
    this.clock = clock;
    this.store = store;
  }

  private static final class Pending {
    private final KeyedValue record;
    private final CompletableFuture<IntakeResult> future = new CompletableFuture<>();
    private boolean inCall;
    private boolean uncertain;

    private Pending(KeyedValue record) {
      this.record = record;
    }
  }

  /**
   * Tells whether appends have failed for a while, so that a new one would not succeed soon. When
   * nothing was tried lately, a new one is let through to find out.
   */
  public boolean isStoreLost() {
    return isOlder(failingSince, LOST_MILLISECONDS) && !isOlder(failedAt, PROBE_MILLISECONDS);
  }

  private boolean isOlder(Optional<Moment> moment, long milliseconds) {
    return moment.map(since -> since.elapsedUntil(clock.now()) >= milliseconds).orElse(false);
  }

  /** Appends a record, or gives up after the given time. */
  public CompletableFuture<IntakeResult> append(KeyedValue record, long patienceMilliseconds) {
    Pending pending = new Pending(record);
    waiting.add(pending);
    loop.delay(Math.max(1, patienceMilliseconds), () -> giveUp(pending));
    callSoon();
    return pending.future;
  }

  private void giveUp(Pending pending) {
    if (pending.future.isDone()) {
      return;
    }
    waiting.remove(pending);
    boolean mayBeStored = pending.inCall || pending.uncertain;
    pending.future.complete(mayBeStored ? IntakeResult.UNKNOWN : IntakeResult.NOT_STORED);
  }

  private void callSoon() {
    if (!calling) {
      calling = true;
      loop.post(this::call);
    }
  }

  private void call() {
    List<Pending> group = takeGroup();
    if (group.isEmpty()) {
      calling = false;
      return;
    }
    List<KeyedValue> records = new ArrayList<>(group.size());
    for (Pending pending : group) {
      pending.inCall = true;
      records.add(pending.record);
    }
    store
        .append(
            StoreTopic.INTAKE,
            records,
            Optional.empty(),
            OptionalLong.empty(),
            CALL_TIMEOUT_MILLISECONDS)
        .thenAccept(result -> answered(group, result));
  }

  private List<Pending> takeGroup() {
    List<Pending> group = new ArrayList<>();
    int bytes = 0;
    while (!waiting.isEmpty() && group.size() < RECORDS_PER_CALL && bytes < BYTES_PER_CALL) {
      Pending pending = waiting.poll();
      bytes += pending.record.value().length;
      group.add(pending);
    }
    return group;
  }

  private void answered(List<Pending> group, StoreAppend result) {
    for (Pending pending : group) {
      pending.inCall = false;
    }
    if (result instanceof StoreAppend.Appended) {
      succeeded(group);
      return;
    }
    boolean uncertain = !(result instanceof StoreAppend.Refused);
    failed(group, uncertain, result);
  }

  private void succeeded(List<Pending> group) {
    if (failingSince.isPresent()) {
      failingSince = Optional.empty();
      logger.atInfo().log("event=dependency_regained dependency=store topic=INTAKE");
    }
    group.forEach(pending -> pending.future.complete(IntakeResult.STORED));
    call();
  }

  private void failed(List<Pending> group, boolean uncertain, StoreAppend result) {
    failedAt = Optional.of(clock.now());
    if (failingSince.isEmpty()) {
      failingSince = Optional.of(clock.now());
      logger.atWarning().log(
          "event=dependency_lost dependency=store topic=INTAKE result=\"%s\"", result);
    }
    for (int i = group.size() - 1; i >= 0; i--) {
      Pending pending = group.get(i);
      pending.uncertain |= uncertain;
      if (!pending.future.isDone()) {
        waiting.addFirst(pending);
      }
    }
    loop.delay(RETRY_MILLISECONDS, this::call);
  }
}
