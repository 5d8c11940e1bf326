package org.flamingochute.engine.maintenance;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.flamingochute.decision.agreement.FoldResult;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.engine.log.AppendOutcome;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.InstanceStopRequested;
import org.flamingochute.schema.LogRecord;

/** Asks the fold for stops, one at a time for each instance, and waits after a refusal. */
final class StopRequester {

  private static final long APPEND_MILLISECONDS = 5_000;

  /** Time before a stop that the fold refused is asked for again. */
  private static final long REFUSED_MILLISECONDS = 2_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final LogAppender appender;
  private final Timers timers;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final AtomicLong counter = new AtomicLong();
  private final Set<InstanceId> requesting = new HashSet<>();
  private final Map<InstanceId, Long> refusedMilliseconds = new HashMap<>();

  StopRequester(MaintenanceParts parts) {
    this.appender = parts.appender();
    this.timers = parts.timers();
    this.self = parts.self();
    this.metrics = parts.metrics();
  }

  /** Asks for a stop; the operation's id is filled in. */
  void request(InstanceStopRequested.Builder stop) {
    InstanceId instance = new InstanceId(stop.getInstance());
    if (!begin(instance)) {
      return;
    }
    stop.setOperation("stop-" + self + "-" + counter.incrementAndGet());
    metrics.counter("stops.requested").inc();
    logger.atInfo().log(
        "event=stop_requested operation=%s instance=%s pool=%s purpose=%s",
        stop.getOperation(), instance, stop.getPool(), stop.getPurpose());
    appender
        .append(LogRecord.newBuilder().setInstanceStopRequested(stop), APPEND_MILLISECONDS)
        .thenAccept(outcome -> takeOutcome(instance, outcome));
  }

  /** Tells whether a stop of the instance is being asked for. */
  synchronized boolean isRequesting(InstanceId instance) {
    return requesting.contains(instance);
  }

  private void takeOutcome(InstanceId instance, AppendOutcome outcome) {
    if (outcome instanceof AppendOutcome.Folded(long offset, FoldResult.Refused(ErrorReport why))) {
      metrics.counter("stops.refused").inc();
      logger.atInfo().log(
          "event=stop_refused instance=%s report=%s", instance, LogText.quoted(why));
      noteRefused(instance);
    }
    synchronized (this) {
      requesting.remove(instance);
    }
  }

  private synchronized void noteRefused(InstanceId instance) {
    refusedMilliseconds.put(instance, timers.monotonicMilliseconds());
  }

  private synchronized boolean begin(InstanceId instance) {
    Long refused = refusedMilliseconds.get(instance);
    if (refused != null && timers.monotonicMilliseconds() - refused < REFUSED_MILLISECONDS) {
      return false;
    }
    refusedMilliseconds.remove(instance);
    return requesting.add(instance);
  }
}
