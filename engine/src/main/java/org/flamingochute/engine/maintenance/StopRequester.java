package org.flamingochute.engine.maintenance;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.engine.log.AppendOutcome;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.InstanceStopRequested;
import org.flamingochute.schema.LogRecord;

/** Appends requests for stops, one at a time per instance, with a delay after a refusal. */
final class StopRequester {

  private static final long APPEND_TIMEOUT_MILLISECONDS = 5_000;

  /** Delay before a refused stop is requested again. */
  private static final long REFUSAL_BACKOFF_MILLISECONDS = 2_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final LogAppender appender;
  private final Timers timers;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final AtomicLong operationCounter = new AtomicLong();
  private final Set<InstanceId> requesting = new HashSet<>();
  private final Map<InstanceId, Long> lastRefusalMilliseconds = new HashMap<>();

  StopRequester(MaintenanceDependencies dependencies) {
    this.appender = dependencies.appender();
    this.timers = dependencies.timers();
    this.self = dependencies.self();
    this.metrics = dependencies.metrics();
  }

  /** Requests a stop; the operation id is filled in. */
  void request(InstanceStopRequested.Builder stop) {
    InstanceId instance = new InstanceId(stop.getInstance());
    if (!beginRequest(instance)) {
      return;
    }
    stop.setOperation("stop-" + self + "-" + operationCounter.incrementAndGet());
    metrics.counter("stops.requested").inc();
    logger.atInfo().log(
        "event=stop_requested operation=%s instance=%s pool=%s purpose=%s",
        stop.getOperation(), instance, stop.getPool(), stop.getPurpose());
    appender
        .append(LogRecord.newBuilder().setInstanceStopRequested(stop), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> handleOutcome(instance, outcome));
  }

  /** Returns whether a request for a stop of the instance is in progress. */
  synchronized boolean isRequesting(InstanceId instance) {
    return requesting.contains(instance);
  }

  private void handleOutcome(InstanceId instance, AppendOutcome outcome) {
    if (outcome
        instanceof AppendOutcome.Applied(long offset, ApplyResult.Refused(ErrorReport report))) {
      metrics.counter("stops.refused").inc();
      logger.atInfo().log(
          "event=stop_refused instance=%s report=%s", instance, LogText.quoted(report));
      recordRefusal(instance);
    }
    synchronized (this) {
      requesting.remove(instance);
    }
  }

  private synchronized void recordRefusal(InstanceId instance) {
    lastRefusalMilliseconds.put(instance, timers.monotonicMilliseconds());
  }

  private synchronized boolean beginRequest(InstanceId instance) {
    Long lastRefusal = lastRefusalMilliseconds.get(instance);
    if (lastRefusal != null
        && timers.monotonicMilliseconds() - lastRefusal < REFUSAL_BACKOFF_MILLISECONDS) {
      return false;
    }
    lastRefusalMilliseconds.remove(instance);
    return requesting.add(instance);
  }
}
