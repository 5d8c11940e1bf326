package org.flamingochute.node.leadership;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreReadOutcome;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.scheduling.leadership.StandbyMonitor;

/**
 * Watches the leader on an instance that is too small to lead a large fleet, without reading its
 * records, which would take most of the instance's link and processor. Once the leader seems to be
 * lost and no larger instance has replaced it, the instance follows all records and may lead. Used
 * on one event loop.
 */
public final class StandbyFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Two reads within the time without a record after which a leader is replaced; the leader appends
   * every 300 ms.
   */
  private static final long READ_INTERVAL_MILLISECONDS = 600;

  private static final long READ_TIMEOUT_MILLISECONDS = 800;

  private final Eventloop loop;
  private final NodeClock clock;
  private final StoreClient store;
  private final StandbyMonitor monitor;
  private final SchedulerLeadership leadership;
  private final StoreFollower jobStatuses;
  private final Runnable activation;
  private long nextOffset;

  /**
   * Creates a standby follower.
   *
   * @param jobStatuses follower of the topic of job statuses, which shows whether the store
   *     responds
   * @param activation starts to follow all records that a leader needs
   */
  public StandbyFollower(
      Eventloop loop,
      NodeClock clock,
      StoreClient store,
      StandbyMonitor monitor,
      SchedulerLeadership leadership,
      StoreFollower jobStatuses,
      Runnable activation) {
    this.loop = loop;
    this.clock = clock;
    this.store = store;
    this.monitor = monitor;
    this.leadership = leadership;
    this.jobStatuses = jobStatuses;
    this.activation = activation;
  }

  /** Starts to watch the leader. */
  public void start() {
    readEnd();
  }

  private void readEnd() {
    store
        .read(StoreTopic.SCHEDULE, nextOffset, 1, 0, READ_TIMEOUT_MILLISECONDS)
        .thenAccept(this::onEndRead);
  }

  private void onEndRead(StoreReadOutcome result) {
    long now = clock.steadyMilliseconds();
    switch (result) {
      case StoreReadOutcome.Records records -> {
        nextOffset = records.endOffset();
        monitor.onEndRead(records.endOffset(), now);
        leadership.onStoreReached(now);
      }
      case StoreReadOutcome.Trimmed trimmed -> nextOffset = trimmed.firstOffset();
      // A topic that nobody has written to may not exist yet.
      case StoreReadOutcome.Failed failed -> {
        if (jobStatuses.ageMilliseconds() < READ_TIMEOUT_MILLISECONDS) {
          monitor.onStoreReached(now);
        }
      }
    }
    if (monitor.mustActivate(now)) {
      logger.atInfo().log("event=standby_activated silent_ms=%d", now - monitor.movedAt());
      leadership.onActivated(monitor.movedAt());
      activation.run();
      return;
    }
    loop.delay(READ_INTERVAL_MILLISECONDS, this::readEnd);
  }
}
