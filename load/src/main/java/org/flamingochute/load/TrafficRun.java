package org.flamingochute.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.CallKind;
import org.flamingochute.schema.CallerReport;
import org.flamingochute.schema.InteractiveSection;
import org.flamingochute.schema.JobSection;
import org.flamingochute.schema.JobSubmissionBody;
import org.flamingochute.schema.OrderSection;
import org.flamingochute.schema.ResourceAmount;
import org.flamingochute.schema.TaskPlan;
import org.flamingochute.schema.TrafficSettings;

/**
 * Sends requests, orders and jobs at times that do not depend on the answers, and waits for what is
 * under way at the end.
 */
public final class TrafficRun {

  private static final long CHECK_MILLISECONDS = 50;
  private static final int PERCENT = 100;

  private final TrafficSettings settings;
  private final long seed;
  private final Timers timers;
  private final RequestCaller requests;
  private final JobCaller jobs;
  private final CallRecorder recorder;
  private final String tagPrefix;
  private long callLimit = Long.MAX_VALUE;

  /** A class of calls with its arrivals. */
  private record CallClass(ArrivalTimes arrivals, IntFunction<Call> factory) {}

  /**
   * Creates a run.
   *
   * @param tagPrefix first part of all tags, unique to the run
   */
  public TrafficRun(
      TrafficSettings settings,
      long seed,
      String tagPrefix,
      Timers timers,
      RequestCaller requests,
      JobCaller jobs,
      CallRecorder recorder) {
    this.settings = settings;
    this.seed = seed;
    this.tagPrefix = tagPrefix;
    this.timers = timers;
    this.requests = requests;
    this.jobs = jobs;
    this.recorder = recorder;
  }

  /** Ends each class of calls after a number of calls. */
  public void setCallLimit(long limit) {
    callLimit = limit;
  }

  /** Runs to the end and returns what callers saw. */
  public CallerReport run() throws InterruptedException {
    final long start = timers.monotonicMilliseconds();
    for (CallClass callClass : callClasses()) {
      scheduleNext(callClass, 0);
    }
    scheduleJobs();
    long end = start + settings.getTraffic().getDurationMilliseconds();
    waitUntil(end, false);
    waitUntil(end + settings.getTraffic().getSettleMilliseconds(), true);
    return recorder.report(seed, timers.monotonicMilliseconds() - start);
  }

  private void waitUntil(long end, boolean onlyForPending) throws InterruptedException {
    while (timers.monotonicMilliseconds() < end) {
      if (onlyForPending && recorder.pendingCalls() == 0 && recorder.pendingJobs() == 0) {
        return;
      }
      Thread.sleep(CHECK_MILLISECONDS);
    }
  }

  private List<CallClass> callClasses() {
    Map<String, InteractiveSection> interactives = new TreeMap<>(settings.getInteractivesMap());
    Map<String, OrderSection> orders = new TreeMap<>(settings.getOrdersMap());
    int count = interactives.size() + orders.size();
    List<CallClass> classes = new ArrayList<>();
    interactives.forEach(
        (name, section) ->
            classes.add(
                new CallClass(
                    arrivals(section.getRequestsPerSecond(), classes.size(), count),
                    number -> interactiveCall(name, section, number))));
    orders.forEach(
        (name, section) ->
            classes.add(
                new CallClass(
                    arrivals(section.getOrdersPerSecond(), classes.size(), count),
                    number -> orderCall(name, section, number))));
    return classes;
  }

  private ArrivalTimes arrivals(int perSecond, int position, int count) {
    long burst = settings.getTraffic().getBurstMilliseconds();
    return new ArrivalTimes(new ArrivalRate(perSecond, burst, position, count), seed + position);
  }

  private Call interactiveCall(String name, InteractiveSection section, int number) {
    return new Call(
        tagPrefix + name + "-" + number,
        CallKind.CALL_INTERACTIVE,
        section.getService(),
        section.getTeam(),
        section.getKey(),
        section.getAnswerBytes(),
        settings.getTraffic().getTimeoutMilliseconds());
  }

  private Call orderCall(String name, OrderSection section, int number) {
    return new Call(
        tagPrefix + name + "-" + number,
        CallKind.CALL_ORDER,
        section.getService(),
        section.getTeam(),
        section.getKey(),
        section.getAnswerBytes(),
        settings.getTraffic().getTimeoutMilliseconds());
  }

  private void scheduleNext(CallClass callClass, int number) {
    scheduleNext(callClass, number, timers.monotonicMilliseconds());
  }

  private void scheduleNext(CallClass callClass, int number, long start) {
    long at = callClass.arrivals().nextMilliseconds();
    if (at >= settings.getTraffic().getDurationMilliseconds() || number >= callLimit) {
      return;
    }
    long delay = Math.max(0, start + at - timers.monotonicMilliseconds());
    timers.schedule(
        Duration.ofMillis(delay),
        () -> {
          requests.call(callClass.factory().apply(number));
          scheduleNext(callClass, number + 1, start);
        });
  }

  private void scheduleJobs() {
    Map<String, JobSection> sections = new TreeMap<>(settings.getJobsMap());
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    sections.forEach(
        (name, section) -> {
          for (int i = 0; i < section.getCount(); i++) {
            scheduleJob(tagPrefix + name + "-" + i, section, random);
          }
        });
  }

  private void scheduleJob(String tag, JobSection section, UniformRandomProvider random) {
    long at = random.nextLong(settings.getTraffic().getDurationMilliseconds());
    long run = Math.round(section.getRunMilliseconds() * 2 * random.nextDouble());
    JobSubmissionBody body = submission(tag, section, run);
    timers.schedule(
        Duration.ofMillis(at), () -> jobs.submit(tag, section.getTeam(), section.getKey(), body));
  }

  private static JobSubmissionBody submission(String tag, JobSection section, long run) {
    TaskPlan plan =
        TaskPlan.newBuilder()
            .setTag(tag)
            .setTeam(section.getTeam())
            .setRunMilliseconds(run)
            .setPeak(amountOf(section, PERCENT))
            .build();
    return JobSubmissionBody.newBuilder()
        .setPool(section.getPool())
        .setDeclared(amountOf(section, section.getDeclaredPercent()))
        .setDeclaredRunMilliseconds(
            section.getRunMilliseconds() * section.getDeclaredPercent() / PERCENT)
        .setIdempotent(section.getIdempotent())
        .setPayload(plan.toByteString())
        .setIdempotencyKey(tag)
        .build();
  }

  private static ResourceAmount amountOf(JobSection section, int percent) {
    return ResourceAmount.newBuilder()
        .setProcessorMillicores(section.getProcessorMillicores() * percent / PERCENT)
        .setMemoryMebibytes(section.getMemoryMebibytes() * percent / PERCENT)
        .build();
  }
}
