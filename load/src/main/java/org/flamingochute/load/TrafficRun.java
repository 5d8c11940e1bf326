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
 * Sends requests, orders and jobs at times that are independent of the responses (open loop), and
 * finally waits for pending calls and jobs up to the settle time.
 */
public final class TrafficRun {

  private static final long POLL_MILLISECONDS = 50;
  private static final int PERCENT = 100;

  private final TrafficSettings settings;
  private final long seed;
  private final Timers timers;
  private final RequestCaller requestCaller;
  private final JobCaller jobCaller;
  private final CallRecorder recorder;
  private final String tagPrefix;
  private long callLimit = Long.MAX_VALUE;

  /** A class of calls with its arrival times. */
  private record CallClass(ArrivalTimes arrivals, IntFunction<Call> callFactory) {}

  /**
   * Creates a run.
   *
   * @param tagPrefix prefix of all tags, unique to the run
   */
  public TrafficRun(
      TrafficSettings settings,
      long seed,
      String tagPrefix,
      Timers timers,
      RequestCaller requestCaller,
      JobCaller jobCaller,
      CallRecorder recorder) {
    this.settings = settings;
    this.seed = seed;
    this.tagPrefix = tagPrefix;
    this.timers = timers;
    this.requestCaller = requestCaller;
    this.jobCaller = jobCaller;
    this.recorder = recorder;
  }

  /** Limits the number of calls of each class; jobs are not limited. */
  public void setCallLimit(long limit) {
    callLimit = limit;
  }

  /** Runs to completion and returns the report of the callers. */
  public CallerReport run() throws InterruptedException {
    final long start = timers.monotonicMilliseconds();
    for (CallClass callClass : createCallClasses()) {
      scheduleNext(callClass, 0);
    }
    scheduleJobs();
    long end = start + settings.getTraffic().getDurationMilliseconds();
    waitUntil(end, false);
    waitUntil(end + settings.getTraffic().getSettleMilliseconds(), true);
    return recorder.createReport(seed, timers.monotonicMilliseconds() - start);
  }

  private void waitUntil(long end, boolean endsWhenIdle) throws InterruptedException {
    while (timers.monotonicMilliseconds() < end) {
      if (endsWhenIdle && recorder.pendingCalls() == 0 && recorder.pendingJobs() == 0) {
        return;
      }
      Thread.sleep(POLL_MILLISECONDS);
    }
  }

  private List<CallClass> createCallClasses() {
    Map<String, InteractiveSection> interactives = new TreeMap<>(settings.getInteractivesMap());
    Map<String, OrderSection> orders = new TreeMap<>(settings.getOrdersMap());
    int classCount = interactives.size() + orders.size();
    List<CallClass> classes = new ArrayList<>();
    interactives.forEach(
        (name, section) ->
            classes.add(
                new CallClass(
                    createArrivals(section.getRequestsPerSecond(), classes.size(), classCount),
                    number -> interactiveCall(name, section, number))));
    orders.forEach(
        (name, section) ->
            classes.add(
                new CallClass(
                    createArrivals(section.getOrdersPerSecond(), classes.size(), classCount),
                    number -> orderCall(name, section, number))));
    return classes;
  }

  private ArrivalTimes createArrivals(int perSecond, int position, int classCount) {
    long burst = settings.getTraffic().getBurstMilliseconds();
    return new ArrivalTimes(
        new ArrivalRate(perSecond, burst, position, classCount), seed + position);
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
    long arrivalMilliseconds = callClass.arrivals().nextMilliseconds();
    if (arrivalMilliseconds >= settings.getTraffic().getDurationMilliseconds()
        || number >= callLimit) {
      return;
    }
    long delay = Math.max(0, start + arrivalMilliseconds - timers.monotonicMilliseconds());
    timers.schedule(
        Duration.ofMillis(delay),
        () -> {
          requestCaller.call(callClass.callFactory().apply(number));
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
    long submissionMilliseconds = random.nextLong(settings.getTraffic().getDurationMilliseconds());
    long runMilliseconds = Math.round(section.getRunMilliseconds() * 2 * random.nextDouble());
    JobSubmissionBody body = createSubmission(tag, section, runMilliseconds);
    timers.schedule(
        Duration.ofMillis(submissionMilliseconds),
        () -> jobCaller.submit(tag, section.getTeam(), section.getKey(), body));
  }

  private static JobSubmissionBody createSubmission(
      String tag, JobSection section, long runMilliseconds) {
    TaskPlan plan =
        TaskPlan.newBuilder()
            .setTag(tag)
            .setTeam(section.getTeam())
            .setRunMilliseconds(runMilliseconds)
            .setPeak(resourceAmount(section, PERCENT))
            .build();
    return JobSubmissionBody.newBuilder()
        .setPool(section.getPool())
        .setDeclared(resourceAmount(section, section.getDeclaredPercent()))
        .setDeclaredRunMilliseconds(
            section.getRunMilliseconds() * section.getDeclaredPercent() / PERCENT)
        .setIdempotent(section.getIdempotent())
        .setPayload(plan.toByteString())
        .setIdempotencyKey(tag)
        .build();
  }

  private static ResourceAmount resourceAmount(JobSection section, int percent) {
    return ResourceAmount.newBuilder()
        .setProcessorMillicores(section.getProcessorMillicores() * percent / PERCENT)
        .setMemoryMebibytes(section.getMemoryMebibytes() * percent / PERCENT)
        .build();
  }
}
