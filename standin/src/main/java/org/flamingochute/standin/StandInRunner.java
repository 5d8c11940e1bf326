package org.flamingochute.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.EndpointOutcome;
import org.flamingochute.platform.EndpointRequest;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.EndpointFault;
import org.flamingochute.schema.EndpointFaultKind;

/**
 * A stand-in runner with slots and a queue.
 *
 * <p>A request occupies a free slot, waits in the queue, or is refused if the queue is full. Work
 * stops at the deadline of the request. A queued request whose deadline has passed when a slot
 * becomes free is refused without any work. Example with 1 slot and 1 queue place: of three
 * simultaneous requests, the first runs, the second runs after it, and the third is refused.
 */
public final class StandInRunner {

  /** Size of a response in bytes if the caller requests none. */
  public static final int DEFAULT_RESPONSE_BYTES = 256;

  private static final int STATUS_OK = 200;
  private static final String OTHER_REQUEST = "other-request";

  private final String instance;
  private final int slots;
  private final int queueLimit;
  private final Timers timers;
  private final RunTimeSampler runTimes;
  private final EndpointRecorder recorder;
  private final EndpointFaults faults;
  private final Set<Work> runningWork = new LinkedHashSet<>();
  private final Deque<Work> queuedWork = new ArrayDeque<>();
  private boolean poweredOn = true;

  /** A queued or running request. */
  private static final class Work {
    private final EndpointRequest request;
    private final String tag;
    private final String team;
    private final long deadlineMilliseconds;
    private final CompletableFuture<RunnerReply> reply = new CompletableFuture<>();

    private Work(EndpointRequest request, long now) {
      this.request = request;
      this.tag =
          StandInHeaders.find(request.headers(), StandInHeaders.REQUEST_TAG, request.requestId());
      this.team = StandInHeaders.find(request.headers(), StandInHeaders.TEAM_TAG, "");
      this.deadlineMilliseconds = now + request.timeoutMilliseconds();
    }
  }

  /**
   * Creates a runner that is powered on.
   *
   * @param instance name of the instance
   * @param slots maximum number of running requests
   * @param queueLimit maximum number of queued requests
   */
  public StandInRunner(
      String instance,
      int slots,
      int queueLimit,
      Timers timers,
      RunTimeSampler runTimes,
      EndpointRecorder recorder,
      EndpointFaults faults) {
    this.instance = instance;
    this.slots = slots;
    this.queueLimit = queueLimit;
    this.timers = timers;
    this.runTimes = runTimes;
    this.recorder = recorder;
    this.faults = faults;
  }

  /** Submits a request; the future completes with the reply. */
  public CompletableFuture<RunnerReply> submit(EndpointRequest request) {
    Work work = new Work(request, timers.monotonicMilliseconds());
    Optional<String> refusal = admit(work);
    if (refusal.isPresent()) {
      recorder.recordRefused();
      work.reply.complete(new RunnerReply.Refused(refusal.get()));
    }
    return work.reply;
  }

  private synchronized Optional<String> admit(Work work) {
    if (!poweredOn) {
      return Optional.of("runner " + instance + " is powered down");
    }
    if (work.request.timeoutMilliseconds() <= 0) {
      return Optional.of("the deadline has passed");
    }
    if (runningWork.size() < slots) {
      startWork(work);
      return Optional.empty();
    }
    if (queuedWork.size() >= queueLimit) {
      return Optional.of("all slots and the queue of " + instance + " are full");
    }
    queuedWork.addLast(work);
    return Optional.empty();
  }

  private void startWork(Work work) {
    runningWork.add(work);
    recorder.recordRequestStart(work.tag, work.team);
    long requestedRunTime =
        StandInHeaders.findNumber(work.request.headers(), StandInHeaders.RUN_MILLISECONDS, -1);
    long runTime = requestedRunTime >= 0 ? requestedRunTime : runTimes.nextMilliseconds();
    long remaining = work.deadlineMilliseconds - timers.monotonicMilliseconds();
    boolean completes = runTime < remaining;
    long delay = completes ? runTime : Math.max(0, remaining);
    timers.schedule(Duration.ofMillis(delay), () -> finishWork(work, completes));
  }

  private void finishWork(Work work, boolean completed) {
    List<Work> expired;
    synchronized (this) {
      if (!runningWork.remove(work)) {
        return;
      }
      recorder.recordRequestEnd(work.tag, work.team, completed);
      expired = startQueued();
    }
    for (Work expiredWork : expired) {
      recorder.recordRefused();
      expiredWork.reply.complete(new RunnerReply.Refused("the deadline passed in the queue"));
    }
    if (completed) {
      completeReply(work);
      return;
    }
    recorder.recordStoppedAtDeadline();
    work.reply.complete(new RunnerReply.ConnectionClosed("stopped at the deadline"));
  }

  private List<Work> startQueued() {
    List<Work> expired = new ArrayList<>();
    while (runningWork.size() < slots && !queuedWork.isEmpty()) {
      Work next = queuedWork.removeFirst();
      if (next.deadlineMilliseconds <= timers.monotonicMilliseconds()) {
        expired.add(next);
        continue;
      }
      startWork(next);
    }
    return expired;
  }

  private void completeReply(Work work) {
    Optional<EndpointFault> fault = faults.takeRunnerFault(instance);
    EndpointFaultKind kind =
        fault.map(EndpointFault::getKind).orElse(EndpointFaultKind.ENDPOINT_FAULT_UNSPECIFIED);
    switch (kind) {
      case RUNNER_LATE ->
          timers.schedule(
              Duration.ofMillis(fault.get().getFaultMilliseconds()),
              () -> work.reply.complete(new RunnerReply.Complete(createOwnResponse(work))));
      case RUNNER_SHORT -> work.reply.complete(new RunnerReply.Truncated(createOwnResponse(work)));
      case RUNNER_CROSSED ->
          work.reply.complete(
              new RunnerReply.Complete(createResponse(OTHER_REQUEST, OTHER_REQUEST, work.request)));
      case RUNNER_TWICE -> work.reply.complete(new RunnerReply.Duplicated(createOwnResponse(work)));
      default -> work.reply.complete(new RunnerReply.Complete(createOwnResponse(work)));
    }
  }

  private static EndpointOutcome.Answered createOwnResponse(Work work) {
    return createResponse(work.request.requestId(), work.tag, work.request);
  }

  private static EndpointOutcome.Answered createResponse(
      String requestId, String tag, EndpointRequest request) {
    long size =
        StandInHeaders.findNumber(
            request.headers(), StandInHeaders.RESPONSE_BYTES, DEFAULT_RESPONSE_BYTES);
    int bytes = (int) Math.max(0, Math.min(size, TaggedBody.MAXIMUM_BYTES));
    return new EndpointOutcome.Answered(
        STATUS_OK,
        List.of(new HeaderField(StandInHeaders.REQUEST_ID, requestId)),
        TaggedBody.create(tag, bytes));
  }

  /**
   * Powers the runner up or down. Powering down ends all running and queued requests by closing
   * their connections.
   */
  public void setPower(boolean on) {
    List<Work> interrupted = new ArrayList<>();
    List<Work> notStarted = new ArrayList<>();
    synchronized (this) {
      poweredOn = on;
      if (!on) {
        interrupted.addAll(runningWork);
        notStarted.addAll(queuedWork);
        runningWork.clear();
        queuedWork.clear();
      }
    }
    for (Work work : interrupted) {
      recorder.recordRequestEnd(work.tag, work.team, false);
      recorder.recordCutByPowerDown();
      work.reply.complete(new RunnerReply.ConnectionClosed("powered down"));
    }
    for (Work work : notStarted) {
      recorder.recordCutByPowerDown();
      work.reply.complete(new RunnerReply.ConnectionClosed("powered down"));
    }
  }

  /** Returns the number of running requests. */
  public synchronized int runningCount() {
    return runningWork.size();
  }
}
