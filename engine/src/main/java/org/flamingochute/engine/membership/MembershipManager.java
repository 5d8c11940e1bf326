package org.flamingochute.engine.membership;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.engine.log.AppendOutcome;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.MemberJoined;
import org.flamingochute.schema.MemberLeft;

/**
 * Joins the members with this incarnation, and leaves them.
 *
 * <p>An incarnation joins once. After it has applied its own removal, it never joins again, since
 * its tokens were allocated to others. The process has to be restarted with another incarnation.
 */
public final class MembershipManager implements AgreementListener {

  /** Timeout of one attempt to join or leave. */
  private static final long APPEND_TIMEOUT_MILLISECONDS = 5_000;

  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final MemberJoined joined;
  private final AgreedView agreed;
  private final LogAppender appender;
  private final Timers timers;
  private final MetricRegistry metrics;
  private volatile boolean removed;
  private volatile boolean leaving;

  /** Creates a manager for the incarnation named in the record. */
  public MembershipManager(
      MemberJoined joined,
      AgreedView agreed,
      LogAppender appender,
      Timers timers,
      MetricRegistry metrics) {
    this.joined = joined;
    this.agreed = agreed;
    this.appender = appender;
    this.timers = timers;
    this.metrics = metrics;
  }

  /** Returns whether this incarnation was a member and was removed. */
  public boolean isRemoved() {
    return removed;
  }

  /** Joins; retries until this incarnation is a member, was removed or is leaving. */
  public void join() {
    if (removed || leaving || agreed.isMember(self())) {
      return;
    }
    appender
        .append(LogRecord.newBuilder().setMemberJoined(joined), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(this::handleJoinOutcome);
  }

  /** Leaves; completes after the record was read back or could not be appended in time. */
  public CompletableFuture<Void> leave() {
    leaving = true;
    if (!agreed.isMember(self())) {
      return CompletableFuture.completedFuture(null);
    }
    MemberLeft leaveRecord = MemberLeft.newBuilder().setIncarnation(self().value()).build();
    return appender
        .append(LogRecord.newBuilder().setMemberLeft(leaveRecord), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> logger.atInfo().log("event=member_left incarnation=%s", self()));
  }

  @Override
  public void memberRemoved(Incarnation incarnation) {
    if (!incarnation.equals(self())) {
      return;
    }
    removed = true;
    metrics.counter("members.own_removal").inc();
    logger.atWarning().log("event=own_removal_folded incarnation=%s", self());
  }

  private void handleJoinOutcome(AppendOutcome outcome) {
    if (outcome instanceof AppendOutcome.Applied applied && applied.isAccepted()) {
      logger.atInfo().log("event=member_joined incarnation=%s", self());
      return;
    }
    if (outcome instanceof AppendOutcome.Applied(long offset, ApplyResult.Refused refused)) {
      logger.atWarning().log("event=join_refused report=%s", LogText.quoted(refused.report()));
    }
    timers.schedule(RETRY_DELAY, this::join);
  }

  private Incarnation self() {
    return new Incarnation(joined.getIncarnation());
  }
}
