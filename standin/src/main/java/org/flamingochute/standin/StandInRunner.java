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
 * A runner with slots and a short queue.
 *
 * <p>A request takes a free slot, or waits in the queue, or is refused when the queue is full. Work
 * stops at the request's deadline; a request whose deadline passed in the queue is refused without
 * work. Example with 1 slot and 1 queued request: of three requests at once, the first runs, the
 * second runs after it, and the third is refused.
 */
public final class StandInRunner {

  /** Size of an answer when the caller asks for none, in bytes. */
  public static final int DEFAULT_ANSWER_BYTES = 256;

  private static final int STATUS_OK = 200;
  private static final String OTHER_REQUEST = "other-request";

  private final String instance;
  private final int slots;
  private final int queueLimit;
  private final Timers timers;
  private final RunTimes runTimes;
  private final EndpointRecorder recorder;
  private final EndpointFaults faults;
  private final Set<Work> running = new LinkedHashSet<>();
  private final Deque<Work> queue = new ArrayDeque<>();
  private boolean poweredOn = true;

  /** One request with its place in the runner. */
  private static final class Work {
    private final EndpointRequest request;
    private final String tag;
    private final String team;
    private final long deadline;
    private final CompletableFuture<RunnerReply> reply = new CompletableFuture<>();

    private Work(EndpointRequest request, long now) {
      this.request = request;
      this.tag = RequestTags.find(request.headers(), RequestTags.REQUEST_TAG, request.requestId());
      this.team = RequestTags.find(request.headers(), RequestTags.TEAM_TAG, "");
      this.deadline = now + request.timeoutMilliseconds();
    }
  }

  /**
   * Creates a runner that is powered on.
   *
   * @param instance name of the instance
   * @param slots requests that it works on at once
   * @param queueLimit requests that may wait for a slot
   */
  public StandInRunner(
      String instance,
      int slots,
      int queueLimit,
      Timers timers,
      RunTimes runTimes,
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

  /** Takes a request; the future completes with what is put on the wire. */
  public CompletableFuture<RunnerReply> submit(EndpointRequest request) {
    Work work = new Work(request, timers.monotonicMilliseconds());
    Optional<String> refusal = admit(work);
    if (refusal.isPresent()) {
      recorder.refused();
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
    if (running.size() < slots) {
      begin(work);
      return Optional.empty();
    }
    if (queue.size() >= queueLimit) {
      return Optional.of("all slots and the queue of " + instance + " are full");
    }
    queue.addLast(work);
    return Optional.empty();
  }

  private void begin(Work work) {
    running.add(work);
    recorder.requestBegun(work.tag, work.team);
    long wanted = RequestTags.findNumber(work.request.headers(), RequestTags.RUN_MILLISECONDS, -1);
    long runTime = wanted >= 0 ? wanted : runTimes.nextMilliseconds();
    long remaining = work.deadline - timers.monotonicMilliseconds();
    boolean whole = runTime < remaining;
    long delay = whole ? runTime : Math.max(0, remaining);
    timers.schedule(Duration.ofMillis(delay), () -> end(work, whole));
  }

  private void end(Work work, boolean whole) {
    List<Work> expired;
    synchronized (this) {
      if (!running.remove(work)) {
        return;
      }
      recorder.requestEnded(work.tag, work.team, whole);
      expired = beginWaiting();
    }
    for (Work late : expired) {
      recorder.refused();
      late.reply.complete(new RunnerReply.Refused("the deadline passed in the queue"));
    }
    if (whole) {
      answer(work);
      return;
    }
    recorder.stoppedAtDeadline();
    work.reply.complete(new RunnerReply.Cut("stopped at the deadline"));
  }

  private List<Work> beginWaiting() {
    List<Work> expired = new ArrayList<>();
    while (running.size() < slots && !queue.isEmpty()) {
      Work next = queue.removeFirst();
      if (next.deadline <= timers.monotonicMilliseconds()) {
        expired.add(next);
        continue;
      }
      begin(next);
    }
    return expired;
  }

  private void answer(Work work) {
    Optional<EndpointFault> fault = faults.nextOfRunner(instance);
    EndpointFaultKind kind =
        fault.map(EndpointFault::getKind).orElse(EndpointFaultKind.ENDPOINT_FAULT_UNSPECIFIED);
    switch (kind) {
      case RUNNER_LATE ->
          timers.schedule(
              Duration.ofMillis(fault.get().getFaultMilliseconds()),
              () -> work.reply.complete(new RunnerReply.Whole(answerOf(work))));
      case RUNNER_SHORT -> work.reply.complete(new RunnerReply.BrokenOff(answerOf(work)));
      case RUNNER_CROSSED ->
          work.reply.complete(
              new RunnerReply.Whole(createAnswer(OTHER_REQUEST, OTHER_REQUEST, work.request)));
      case RUNNER_TWICE -> work.reply.complete(new RunnerReply.Repeated(answerOf(work)));
      default -> work.reply.complete(new RunnerReply.Whole(answerOf(work)));
    }
  }

  private static EndpointOutcome.Answered answerOf(Work work) {
    return createAnswer(work.request.requestId(), work.tag, work.request);
  }

  private static EndpointOutcome.Answered createAnswer(
      String requestId, String tag, EndpointRequest request) {
    long size =
        RequestTags.findNumber(request.headers(), RequestTags.ANSWER_BYTES, DEFAULT_ANSWER_BYTES);
    int bytes = (int) Math.max(0, Math.min(size, TaggedAnswer.MAXIMUM_BYTES));
    return new EndpointOutcome.Answered(
        STATUS_OK,
        List.of(new HeaderField(RequestTags.REQUEST_ID, requestId)),
        TaggedAnswer.create(tag, bytes));
  }

  /** Powers the runner up or down. Powering down cuts off all work and everything queued. */
  public void setPower(boolean on) {
    List<Work> cutOff = new ArrayList<>();
    List<Work> unbegun = new ArrayList<>();
    synchronized (this) {
      poweredOn = on;
      if (!on) {
        cutOff.addAll(running);
        unbegun.addAll(queue);
        running.clear();
        queue.clear();
      }
    }
    for (Work work : cutOff) {
      recorder.requestEnded(work.tag, work.team, false);
      recorder.cutByPowerDown();
      work.reply.complete(new RunnerReply.Cut("powered down"));
    }
    for (Work work : unbegun) {
      recorder.cutByPowerDown();
      work.reply.complete(new RunnerReply.Cut("powered down"));
    }
  }

  /** Returns the number of requests that are worked on now. */
  public synchronized int runningCount() {
    return running.size();
  }
}
