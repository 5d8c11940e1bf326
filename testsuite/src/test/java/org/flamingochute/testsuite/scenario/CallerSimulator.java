package org.flamingochute.testsuite.scenario;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.ServiceId;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.engine.CallerRequest;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobSubmissionBody;
import org.flamingochute.schema.ResourceAmount;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservedOutcome;
import org.flamingochute.testsuite.simulation.WorkSpecification;

/**
 * Simulates the callers of a scenario, which send requests, submit jobs and cancel jobs. A call is
 * omitted if its entry, or every entry that the load balancer may choose, was killed.
 */
final class CallerSimulator {

  private static final Set<String> REQUEST_OPTIONS =
      Set.of(
          "service",
          "entry",
          "key",
          "team",
          "run",
          "timeout",
          "idempotent",
          "once",
          "every",
          "repeat",
          "retries");
  private static final Set<String> JOB_OPTIONS =
      Set.of(
          "pool", "entry", "key", "team", "run", "idempotent", "urgent", "once", "every", "repeat");
  private static final Set<String> CANCEL_OPTIONS = Set.of("entry", "key");
  private static final String ANY_ENTRY = "any";
  private static final long RESPONSE_GRACE_MILLISECONDS = 1_000;
  private static final long RETRY_DELAY_MILLISECONDS = 50;

  private final ScenarioEnvironment environment;
  private final Map<String, String> jobOfTag = new HashMap<>();
  private final SimulatedLoadBalancer loadBalancer;

  CallerSimulator(ScenarioEnvironment environment) {
    this.environment = environment;
    this.loadBalancer = new SimulatedLoadBalancer(environment);
  }

  /** Schedules a command of a caller; returns false if the command is of another kind. */
  boolean schedule(ScenarioCommand command) {
    switch (command.verb()) {
      case "request" -> scheduleRequests(command);
      case "job" -> scheduleJobs(command);
      case "cancel" -> {
        command.rejectOptionsExcept(CANCEL_OPTIONS);
        environment.clock.runAfter(command.atMilliseconds(), () -> cancel(command));
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private interface TaggedTask {
    void run(String tag);
  }

  private void scheduleRepetitions(ScenarioCommand command, TaggedTask task) {
    long count = command.number("repeat", 1);
    long interval = command.number("every", 10);
    for (int i = 0; i < count; i++) {
      String tag = count == 1 ? command.word(0) : command.word(0) + "-" + (i + 1);
      environment.clock.runAfter(command.atMilliseconds() + i * interval, () -> task.run(tag));
    }
  }

  private Optional<SimulatedEntry> chooseEntry(String name) {
    if (!name.equals(ANY_ENTRY)) {
      return environment.entry(name).filter(entry -> !entry.process().isKilled());
    }
    return loadBalancer.chooseEntry();
  }

  private void scheduleRequests(ScenarioCommand command) {
    command.rejectOptionsExcept(REQUEST_OPTIONS);
    scheduleRepetitions(command, tag -> send(command, tag, 0));
  }

  private void send(ScenarioCommand command, String tag, int attempt) {
    Optional<SimulatedEntry> chosen = chooseEntry(command.option("entry", ANY_ENTRY));
    if (chosen.isEmpty()) {
      return;
    }
    SimulatedEntry entry = chosen.get();
    String call = tag + "/" + attempt;
    String key = command.option("key", "none");
    boolean idempotent = command.booleanOption("idempotent", false);
    environment.journal.add(
        new Observation.RequestSent(
            environment.clock.nowMilliseconds(),
            tag,
            call,
            entry.process().name(),
            command.option("service", ""),
            key,
            idempotent));
    RequestAttempt requestAttempt = new RequestAttempt(command, tag, call, attempt);
    long timeout = command.number("timeout", 2_000);
    CallerRequest request = createRequest(command, tag, timeout);
    entry
        .process()
        .runAfter(
            1,
            () ->
                entry
                    .node()
                    .request(request)
                    .thenAccept(
                        outcome ->
                            environment.clock.runAfter(
                                1, () -> handleOutcome(requestAttempt, outcome))));
    environment.clock.runAfter(
        timeout + RESPONSE_GRACE_MILLISECONDS, () -> handleMissingResponse(requestAttempt));
  }

  private static CallerRequest createRequest(ScenarioCommand command, String tag, long timeout) {
    String key = command.option("key", "none");
    String team = command.option("team", teamOf(key));
    WorkSpecification work = new WorkSpecification(tag, team, command.number("run", 20));
    boolean once = command.booleanOption("once", false);
    return new CallerRequest(
        new ServiceId(command.option("service", "")),
        key.equals("none") ? Optional.empty() : Optional.of(key),
        "POST",
        "/work",
        List.of(),
        work.content(),
        timeout,
        command.booleanOption("idempotent", false),
        once ? Optional.of(new IdempotencyKey(tag)) : Optional.empty());
  }

  /** Returns the team that a key like {@code captains-secret} is named after. */
  private static String teamOf(String key) {
    return key.equals("none") ? "visitors" : key.replace("-secret", "");
  }

  /** One call of a request, which is the first one or a retry. */
  private static final class RequestAttempt {
    final ScenarioCommand command;
    final String tag;
    final String call;
    final int number;
    boolean isEnded;

    RequestAttempt(ScenarioCommand command, String tag, String call, int number) {
      this.command = command;
      this.tag = tag;
      this.call = call;
      this.number = number;
    }
  }

  private void handleOutcome(RequestAttempt attempt, CallerOutcome outcome) {
    switch (outcome) {
      case CallerOutcome.Answered answered ->
          recordEnd(
              attempt,
              answered.status() == 200 ? ObservedOutcome.ANSWERED : ObservedOutcome.UNKNOWN,
              new String(answered.body(), StandardCharsets.UTF_8));
      case CallerOutcome.NotRun notRun ->
          recordEnd(attempt, ObservedOutcome.NOT_RUN, notRun.report().toString());
      case CallerOutcome.Unknown unknown ->
          recordEnd(attempt, ObservedOutcome.UNKNOWN, unknown.report().toString());
    }
  }

  private void handleMissingResponse(RequestAttempt attempt) {
    recordEnd(attempt, ObservedOutcome.NO_RESPONSE, "");
  }

  private void recordEnd(RequestAttempt attempt, ObservedOutcome outcome, String body) {
    if (attempt.isEnded) {
      return;
    }
    attempt.isEnded = true;
    environment.journal.add(
        new Observation.RequestEnded(
            environment.clock.nowMilliseconds(), attempt.tag, attempt.call, outcome, body));
    boolean retry =
        outcome != ObservedOutcome.ANSWERED
            && attempt.number < attempt.command.number("retries", 0);
    if (retry) {
      environment.clock.runAfter(
          RETRY_DELAY_MILLISECONDS, () -> send(attempt.command, attempt.tag, attempt.number + 1));
    }
  }

  private void scheduleJobs(ScenarioCommand command) {
    command.rejectOptionsExcept(JOB_OPTIONS);
    scheduleRepetitions(command, tag -> submit(command, tag));
  }

  private void submit(ScenarioCommand command, String tag) {
    Optional<SimulatedEntry> chosen = chooseEntry(command.option("entry", ANY_ENTRY));
    if (chosen.isEmpty()) {
      return;
    }
    SimulatedEntry entry = chosen.get();
    boolean idempotent = command.booleanOption("idempotent", true);
    String key = command.option("key", "none");
    WorkSpecification work =
        new WorkSpecification(tag, command.option("team", teamOf(key)), command.number("run", 500));
    JobSubmissionBody body =
        JobSubmissionBody.newBuilder()
            .setPool(command.option("pool", ""))
            .setDeclared(
                ResourceAmount.newBuilder().setProcessorMillicores(1_000).setMemoryMebibytes(512))
            .setDeclaredRunMilliseconds(work.runMilliseconds())
            .setIdempotent(idempotent)
            .setUrgent(command.booleanOption("urgent", false))
            .setPayload(ByteString.copyFrom(work.content()))
            .setIdempotencyKey(command.booleanOption("once", false) ? tag : "")
            .build();
    environment.journal.add(
        new Observation.JobSubmissionSent(
            environment.clock.nowMilliseconds(), tag, entry.process().name(), idempotent));
    entry
        .process()
        .runAfter(
            1,
            () ->
                entry
                    .node()
                    .submitJob(key, body)
                    .thenAccept(
                        result ->
                            environment.clock.runAfter(1, () -> handleSubmission(tag, result))));
  }

  private void handleSubmission(String tag, Either<ErrorReport, JobImage> result) {
    long now = environment.clock.nowMilliseconds();
    if (result.isLeft()) {
      environment.journal.add(new Observation.JobRejected(now, tag, result.getLeft().toString()));
      return;
    }
    String job = result.get().getSubmitted().getJob();
    jobOfTag.put(tag, job);
    environment.journal.add(new Observation.JobAcknowledged(now, tag, job));
  }

  private void cancel(ScenarioCommand command) {
    Optional<SimulatedEntry> chosen = chooseEntry(command.option("entry", ANY_ENTRY));
    if (chosen.isEmpty()) {
      return;
    }
    List<String> tags = new ArrayList<>();
    List<JobId> jobs = new ArrayList<>();
    jobOfTag.forEach(
        (tag, job) -> {
          if (tag.startsWith(command.word(0))) {
            tags.add(tag);
            jobs.add(new JobId(job));
          }
        });
    SimulatedEntry entry = chosen.get();
    entry
        .process()
        .runAfter(
            1,
            () ->
                entry
                    .node()
                    .cancelJobs(command.option("key", "none"), jobs)
                    .thenAccept(
                        result ->
                            environment.clock.runAfter(1, () -> handleCancellation(tags, result))));
  }

  private void handleCancellation(List<String> tags, Either<ErrorReport, Void> result) {
    if (result.isRight()) {
      environment.journal.add(
          new Observation.JobsCancelled(environment.clock.nowMilliseconds(), tags));
    }
  }
}
