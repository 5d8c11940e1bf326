package org.flamingochute.engine.membership;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.task.RepeatingTask;
import org.flamingochute.platform.InstanceList;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceListing;
import org.flamingochute.schema.InstanceObserved;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.MemberGone;
import org.flamingochute.schema.MemberImage;

/**
 * Polls the platform's instance list and records its differences from the agreed state.
 *
 * <p>Only the selected member records; duplicate records have no further effect. A member is
 * recorded as gone only if the list shows its instance as gone, or as running under another
 * incarnation, and the listing is newer than the join of the member by a margin, since the list
 * lags and may still show the state before the member started. Missing gossip, or an instance that
 * is absent from the list, proves nothing. An entry never records itself as gone.
 */
public final class InstanceListObserver implements AgreementListener {

  /** Minimum time between the join of a member and a listing that shows it as gone. */
  private static final long JOIN_MARGIN_MILLISECONDS = 1_000;

  /** Time within which an observation must be read back. */
  private static final long APPEND_TIMEOUT_MILLISECONDS = 5_000;

  /** Minimum time between two warnings of one kind; the metrics count every failure. */
  private static final int WARNING_INTERVAL_SECONDS = 5;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final InstanceList list;
  private final AgreedView agreed;
  private final MemberSelector selector;
  private final LogAppender appender;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final Map<Incarnation, Long> joinedMilliseconds = new HashMap<>();
  private final Map<String, InstanceObserved> pendingObservations = new HashMap<>();
  private final Set<Incarnation> pendingRemovals = new HashSet<>();
  private volatile Map<String, ListedInstance> newestInstances = Map.of();
  private volatile InstanceListing newestListing = InstanceListing.getDefaultInstance();
  private final RepeatingTask polls;

  /** Creates an observer that is not started. */
  public InstanceListObserver(
      InstanceList list,
      AgreedView agreed,
      MemberSelector selector,
      LogAppender appender,
      Timers timers,
      Incarnation self,
      Duration interval,
      MetricRegistry metrics) {
    this.list = list;
    this.agreed = agreed;
    this.selector = selector;
    this.appender = appender;
    this.self = self;
    this.metrics = metrics;
    this.polls = new RepeatingTask("instance_list", timers, interval, this::poll, metrics);
  }

  /** Starts polling. */
  public void start() {
    polls.start();
  }

  /** Stops polling. */
  public void stop() {
    polls.stop();
  }

  /** Returns the newest listing; empty before the first one was read. */
  public InstanceListing newestListing() {
    return newestListing;
  }

  /**
   * Returns whether the newest listing shows a member as gone. No record in the log is required for
   * this: a member that is gone applies no further records, so that its state cannot become later
   * than that of the others.
   */
  public boolean isListedGone(Incarnation incarnation) {
    InstanceListing listing = newestListing;
    if (!hasJoinedBefore(incarnation, listing)) {
      return false;
    }
    return instanceOf(incarnation)
        .map(newestInstances::get)
        .filter(listed -> !evidenceOfRemoval(incarnation, listed).isEmpty())
        .isPresent();
  }

  /**
   * Returns whether the newest listing shows an instance as leaving or gone. During an outage of
   * the log, no record can show this.
   */
  public boolean isListedLeaving(InstanceImage instance) {
    if (newestListing.getAsOfMilliseconds() <= instance.getObserved().getAsOfMilliseconds()) {
      return false;
    }
    ListedInstance listed = newestInstances.get(instance.getObserved().getInstance());
    return listed != null
        && (listed.getState() == InstanceState.INSTANCE_LEAVING
            || listed.getState() == InstanceState.INSTANCE_GONE);
  }

  private Optional<String> instanceOf(Incarnation incarnation) {
    for (MemberImage member : agreed.members()) {
      if (member.getJoined().getIncarnation().equals(incarnation.value())) {
        return Optional.of(member.getJoined().getInstance());
      }
    }
    return Optional.empty();
  }

  @Override
  public synchronized void memberJoined(Incarnation incarnation) {
    joinedMilliseconds.put(incarnation, agreed.timeMilliseconds());
  }

  @Override
  public synchronized void memberRemoved(Incarnation incarnation) {
    joinedMilliseconds.remove(incarnation);
  }

  @Override
  public synchronized void stateReplaced() {
    for (MemberImage member : agreed.members()) {
      Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
      joinedMilliseconds.putIfAbsent(incarnation, agreed.timeMilliseconds());
    }
  }

  private CompletableFuture<?> poll() {
    return list.list().thenAccept(this::handleListing);
  }

  private void handleListing(Either<PlatformError, InstanceListing> result) {
    if (result.isLeft()) {
      metrics.counter("list.failed_reads").inc();
      logger.atWarning().atMostEvery(WARNING_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "event=list_read_failed detail=%s", LogText.quoted(result.getLeft().detail()));
      return;
    }
    InstanceListing listing = result.get();
    if (listing.getAsOfMilliseconds() < newestListing.getAsOfMilliseconds()) {
      return;
    }
    newestInstances = instancesByName(listing);
    newestListing = listing;
    if (agreed.isMember(self) && selector.isSelected()) {
      record(listing);
    }
  }

  private Map<String, ListedInstance> instancesByName(InstanceListing listing) {
    Map<String, ListedInstance> listed = new LinkedHashMap<>();
    for (ListedInstance instance : listing.getInstancesList()) {
      if (!Identifiers.isValid(instance.getInstance())) {
        metrics.counter("list.malformed_instances").inc();
        continue;
      }
      listed.put(instance.getInstance(), instance);
    }
    return listed;
  }

  private void record(InstanceListing listing) {
    Map<String, ListedInstance> listed = newestInstances;
    for (ListedInstance instance : listed.values()) {
      recordIfChanged(instance, listing.getAsOfMilliseconds());
    }
    for (MemberImage member : agreed.members()) {
      removeIfGone(member, listed.get(member.getJoined().getInstance()), listing);
    }
  }

  private void recordIfChanged(ListedInstance listed, long asOfMilliseconds) {
    InstanceObserved observed = observation(listed, asOfMilliseconds);
    Optional<InstanceImage> known = agreed.instance(new InstanceId(listed.getInstance()));
    boolean isNew = known.isEmpty() && observed.getState() != InstanceState.INSTANCE_GONE;
    boolean isChanged =
        known.isPresent()
            && !isSame(known.get().getObserved(), observed)
            && !isOlderThanRetirement(known.get(), observed);
    if ((!isNew && !isChanged) || !beginObservation(observed)) {
      return;
    }
    metrics.counter("list.observations").inc();
    logger.atInfo().log(
        "event=instance_observed instance=%s state=%s",
        observed.getInstance(), observed.getState());
    appender
        .append(LogRecord.newBuilder().setInstanceObserved(observed), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> finishObservation(observed));
  }

  /**
   * Returns whether an observation is not newer than the retirement; a lagging list still shows
   * retired instances as live.
   */
  private static boolean isOlderThanRetirement(InstanceImage known, InstanceObserved observed) {
    return known.getObserved().getState() == InstanceState.INSTANCE_GONE
        && observed.getAsOfMilliseconds() <= known.getGoneMilliseconds();
  }

  /**
   * Returns whether two observations are equal apart from their times and their first pools, which
   * are used for new instances only.
   */
  private static boolean isSame(InstanceObserved known, InstanceObserved observed) {
    return withoutTimeAndPool(known).equals(withoutTimeAndPool(observed));
  }

  private static InstanceObserved withoutTimeAndPool(InstanceObserved observed) {
    return observed.toBuilder().clearFirstPool().clearAsOfMilliseconds().build();
  }

  private synchronized boolean beginObservation(InstanceObserved observed) {
    InstanceObserved pending = pendingObservations.get(observed.getInstance());
    if (pending != null && isSame(pending, observed)) {
      return false;
    }
    pendingObservations.put(observed.getInstance(), observed);
    return true;
  }

  private synchronized void finishObservation(InstanceObserved observed) {
    pendingObservations.remove(observed.getInstance(), observed);
  }

  private void removeIfGone(MemberImage member, ListedInstance listed, InstanceListing listing) {
    Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
    if (listed == null || incarnation.equals(self) || !hasJoinedBefore(incarnation, listing)) {
      return;
    }
    String evidence = evidenceOfRemoval(incarnation, listed);
    if (evidence.isEmpty() || !beginRemoval(incarnation)) {
      return;
    }
    logger.atWarning().log(
        "event=member_gone_recorded incarnation=%s evidence=%s",
        incarnation, LogText.quoted(evidence));
    metrics.counter("members.recorded_gone").inc();
    MemberGone gone =
        MemberGone.newBuilder().setIncarnation(incarnation.value()).setEvidence(evidence).build();
    appender
        .append(LogRecord.newBuilder().setMemberGone(gone), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> finishRemoval(incarnation));
  }

  /** Returns how the listed instance proves that the member is gone, or an empty text. */
  private static String evidenceOfRemoval(Incarnation incarnation, ListedInstance listed) {
    if (listed.getState() == InstanceState.INSTANCE_GONE) {
      return "the list shows " + listed.getInstance() + " as gone";
    }
    boolean hasOtherIncarnation =
        !listed.getIncarnation().isEmpty() && !listed.getIncarnation().equals(incarnation.value());
    if (hasOtherIncarnation) {
      return "the list shows " + listed.getInstance() + " as " + listed.getIncarnation();
    }
    return "";
  }

  private synchronized boolean hasJoinedBefore(Incarnation incarnation, InstanceListing listing) {
    Long joined = joinedMilliseconds.get(incarnation);
    return joined != null && joined + JOIN_MARGIN_MILLISECONDS < listing.getAsOfMilliseconds();
  }

  private synchronized boolean beginRemoval(Incarnation incarnation) {
    return pendingRemovals.add(incarnation);
  }

  private synchronized void finishRemoval(Incarnation incarnation) {
    pendingRemovals.remove(incarnation);
  }

  private static InstanceObserved observation(ListedInstance listed, long asOfMilliseconds) {
    return InstanceObserved.newBuilder()
        .setInstance(listed.getInstance())
        .setKind(listed.getKind())
        .setState(listed.getState())
        .setDataCentre(listed.getDataCentre())
        .setRack(listed.getRack())
        .setFirstPool(listed.getFirstPool())
        .setAddress(listed.getAddress())
        .setCapacity(listed.getCapacity())
        .setAsOfMilliseconds(asOfMilliseconds)
        .build();
  }
}
