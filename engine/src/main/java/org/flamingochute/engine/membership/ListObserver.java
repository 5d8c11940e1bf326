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
 * Polls the platform's instance list, and records what it changes in the agreed state.
 *
 * <p>One member records: the first that is heard. Two that record the same do no harm. A member is
 * recorded as gone only when the list shows its instance as gone, or as running under another
 * incarnation, and the listing is younger than the member by a margin, since the list lags and may
 * still show what was there before the member started. Silence, or an instance that is absent from
 * the list, proves nothing. An entry never records itself as gone.
 */
public final class ListObserver implements AgreementListener {

  /** Age that a member must have in a listing before the listing can show it as gone. */
  private static final long JOIN_MARGIN_MILLISECONDS = 1_000;

  /** Time that an observation may take to reach the log. */
  private static final long APPEND_MILLISECONDS = 5_000;

  /** Seconds between two warnings of one kind; the metrics count every failure. */
  private static final int WARNING_INTERVAL_SECONDS = 5;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final InstanceList list;
  private final AgreedView agreed;
  private final MemberRank rank;
  private final LogAppender appender;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final Map<Incarnation, Long> joinedMilliseconds = new HashMap<>();
  private final Map<String, InstanceObserved> underWay = new HashMap<>();
  private final Set<Incarnation> removals = new HashSet<>();
  private volatile Map<String, ListedInstance> newestByName = Map.of();
  private volatile InstanceListing newest = InstanceListing.getDefaultInstance();
  private final RepeatingTask polls;

  /** Creates an observer that has not yet begun. */
  public ListObserver(
      InstanceList list,
      AgreedView agreed,
      MemberRank rank,
      LogAppender appender,
      Timers timers,
      Incarnation self,
      Duration interval,
      MetricRegistry metrics) {
    this.list = list;
    this.agreed = agreed;
    this.rank = rank;
    this.appender = appender;
    this.self = self;
    this.metrics = metrics;
    this.polls = new RepeatingTask("instance_list", timers, interval, this::poll, metrics);
  }

  /** Begins to poll. */
  public void start() {
    polls.start();
  }

  /** Ends polling. */
  public void stop() {
    polls.stop();
  }

  /** Returns the newest listing; empty before the first. */
  public InstanceListing newest() {
    return newest;
  }

  /**
   * Tells whether the newest listing shows a member as gone. This needs no log: a member that is
   * gone can not know more of the log than others.
   */
  public boolean isListedGone(Incarnation incarnation) {
    InstanceListing listing = newest;
    if (!isOlderThan(incarnation, listing)) {
      return false;
    }
    return instanceOf(incarnation)
        .map(newestByName::get)
        .filter(listed -> !evidence(incarnation, listed).isEmpty())
        .isPresent();
  }

  /**
   * Tells whether the newest listing shows an instance as leaving or gone. While the log is down no
   * record can say so.
   */
  public boolean isListedLeaving(InstanceImage instance) {
    if (newest.getAsOfMilliseconds() <= instance.getObserved().getAsOfMilliseconds()) {
      return false;
    }
    ListedInstance listed = newestByName.get(instance.getObserved().getInstance());
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
    return list.list().thenAccept(this::take);
  }

  private void take(Either<PlatformError, InstanceListing> answer) {
    if (answer.isLeft()) {
      metrics.counter("list.failed_reads").inc();
      logger.atWarning().atMostEvery(WARNING_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "event=list_read_failed detail=%s", LogText.quoted(answer.getLeft().detail()));
      return;
    }
    InstanceListing listing = answer.get();
    if (listing.getAsOfMilliseconds() < newest.getAsOfMilliseconds()) {
      return;
    }
    newestByName = byName(listing);
    newest = listing;
    if (agreed.isMember(self) && rank.isFirst()) {
      record(listing);
    }
  }

  private Map<String, ListedInstance> byName(InstanceListing listing) {
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
    Map<String, ListedInstance> listed = newestByName;
    for (ListedInstance instance : listed.values()) {
      observe(instance, listing.getAsOfMilliseconds());
    }
    for (MemberImage member : agreed.members()) {
      removeIfGone(member, listed.get(member.getJoined().getInstance()), listing);
    }
  }

  private void observe(ListedInstance listed, long asOfMilliseconds) {
    InstanceObserved seen = observation(listed, asOfMilliseconds);
    Optional<InstanceImage> known = agreed.instance(new InstanceId(listed.getInstance()));
    boolean isNew = known.isEmpty() && seen.getState() != InstanceState.INSTANCE_GONE;
    boolean isChanged =
        known.isPresent()
            && !isSame(known.get().getObserved(), seen)
            && !isOlderThanRetirement(known.get(), seen);
    if ((!isNew && !isChanged) || !begin(seen)) {
      return;
    }
    metrics.counter("list.observations").inc();
    logger.atInfo().log(
        "event=instance_observed instance=%s state=%s", seen.getInstance(), seen.getState());
    appender
        .append(LogRecord.newBuilder().setInstanceObserved(seen), APPEND_MILLISECONDS)
        .thenAccept(outcome -> end(seen));
  }

  /** The list lags: for a while it still shows an instance that was retired as live. */
  private static boolean isOlderThanRetirement(InstanceImage known, InstanceObserved seen) {
    return known.getObserved().getState() == InstanceState.INSTANCE_GONE
        && seen.getAsOfMilliseconds() <= known.getGoneMilliseconds();
  }

  /** The first pool matters only for an instance that is not yet known, the time for none. */
  private static boolean isSame(InstanceObserved known, InstanceObserved seen) {
    return withoutTimeAndPool(known).equals(withoutTimeAndPool(seen));
  }

  private static InstanceObserved withoutTimeAndPool(InstanceObserved observed) {
    return observed.toBuilder().clearFirstPool().clearAsOfMilliseconds().build();
  }

  private synchronized boolean begin(InstanceObserved seen) {
    InstanceObserved before = underWay.get(seen.getInstance());
    if (before != null && isSame(before, seen)) {
      return false;
    }
    underWay.put(seen.getInstance(), seen);
    return true;
  }

  private synchronized void end(InstanceObserved seen) {
    underWay.remove(seen.getInstance(), seen);
  }

  private void removeIfGone(MemberImage member, ListedInstance listed, InstanceListing listing) {
    Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
    if (listed == null || incarnation.equals(self) || !isOlderThan(incarnation, listing)) {
      return;
    }
    String evidence = evidence(incarnation, listed);
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
        .append(LogRecord.newBuilder().setMemberGone(gone), APPEND_MILLISECONDS)
        .thenAccept(outcome -> endRemoval(incarnation));
  }

  private static String evidence(Incarnation incarnation, ListedInstance listed) {
    if (listed.getState() == InstanceState.INSTANCE_GONE) {
      return "the list shows " + listed.getInstance() + " as gone";
    }
    boolean otherIncarnation =
        !listed.getIncarnation().isEmpty() && !listed.getIncarnation().equals(incarnation.value());
    if (otherIncarnation) {
      return "the list shows " + listed.getInstance() + " as " + listed.getIncarnation();
    }
    return "";
  }

  private synchronized boolean isOlderThan(Incarnation incarnation, InstanceListing listing) {
    Long joined = joinedMilliseconds.get(incarnation);
    return joined != null && joined + JOIN_MARGIN_MILLISECONDS < listing.getAsOfMilliseconds();
  }

  private synchronized boolean beginRemoval(Incarnation incarnation) {
    return removals.add(incarnation);
  }

  private synchronized void endRemoval(Incarnation incarnation) {
    removals.remove(incarnation);
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
