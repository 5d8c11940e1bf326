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
import org.flamingochute.testsuite.observation.CallerVerdict;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.simulation.WorkText;

/** Simulates the callers of a scenario, which send requests, submit jobs and cancel jobs. */
final class CallPlayer {

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
  private static final long PATIENCE_MILLISECONDS = 1_000;
  private static final long RETRY_MILLISECONDS = 50;

  private final ScenarioWorld world;
  private final Map<String, String> jobOfTag = new HashMap<>();
  private final Balancer balancer;

  CallPlayer(ScenarioWorld world) {
    this.world = world;
    this.balancer = new Balancer(world);
  }

  /** Schedules a command of a caller; returns false if the command is of another kind. */
  boolean schedule(ScenarioCommand command) {
    switch (command.verb()) {
      case "request" -> scheduleRequests(command);
      case "job" -> scheduleJobs(command);
      case "cancel" -> {
        command.requireOptions(CANCEL_OPTIONS);
        world.clock.after(command.atMilliseconds(), () -> cancel(command));
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

  private void repeat(ScenarioCommand command, TaggedTask task) {
    long count = command.number("repeat", 1);
    long interval = command.number("every", 10);
    for (int i = 0; i < count; i++) {
      String tag = count == 1 ? command.word(0) : command.word(0) + "-" + (i + 1);
      world.clock.after(command.atMilliseconds() + i * interval, () -> task.run(tag));
    }
  }

  private Optional<SimulatedEntry> choose(String name) {
    if (!name.equals(ANY_ENTRY)) {
      return world.entry(name).filter(entry -> !entry.process().isKilled());
    }
    return balancer.choose();
  }

  private void scheduleRequests(ScenarioCommand command) {
    command.requireOptions(REQUEST_OPTIONS);
    repeat(command, tag -> send(command, tag, 0));
  }

  private void send(ScenarioCommand command, String tag, int tries) {
    Optional<SimulatedEntry> chosen = choose(command.text("entry", ANY_ENTRY));
    if (chosen.isEmpty()) {
      return;
    }
    SimulatedEntry entry = chosen.get();
    String call = tag + "/" + tries;
    String key = command.text("key", "none");
    boolean idempotent = command.flag("idempotent", false);
    world.journal.add(
        new Observation.RequestSent(
            world.clock.nowMilliseconds(),
            tag,
            call,
            entry.process().name(),
            command.text("service", ""),
            key,
            idempotent));
    Call state = new Call(command, tag, call, tries);
    long timeout = command.number("timeout", 2_000);
    CallerRequest request = request(command, tag, timeout);
    entry
        .process()
        .runAfter(
            1,
            () ->
                entry
                    .node()
                    .request(request)
                    .thenAccept(outcome -> world.clock.after(1, () -> ended(state, outcome))));
    world.clock.after(timeout + PATIENCE_MILLISECONDS, () -> noWord(state));
  }

  private static CallerRequest request(ScenarioCommand command, String tag, long timeout) {
    String key = command.text("key", "none");
    String team = command.text("team", teamOf(key));
    WorkText work = new WorkText(tag, team, command.number("run", 20));
    boolean once = command.flag("once", false);
    return new CallerRequest(
        new ServiceId(command.text("service", "")),
        key.equals("none") ? Optional.empty() : Optional.of(key),
        "POST",
        "/work",
        List.of(),
        work.content(),
        timeout,
        command.flag("idempotent", false),
        once ? Optional.of(new IdempotencyKey(tag)) : Optional.empty());
  }

  /** Returns the team that a key like {@code captains-secret} is named after. */
  private static String teamOf(String key) {
    return key.equals("none") ? "visitors" : key.replace("-secret", "");
  }

  /** One attempt to send a request, with the state of its completion. */
  private static final class Call {
    final ScenarioCommand command;
    final String tag;
    final String name;
    final int tries;
    boolean ended;

    Call(ScenarioCommand command, String tag, String name, int tries) {
      this.command = command;
      this.tag = tag;
      this.name = name;
      this.tries = tries;
    }
  }

  private void ended(Call call, CallerOutcome outcome) {
    switch (outcome) {
      case CallerOutcome.Answered answered ->
          end(
              call,
              answered.status() == 200 ? CallerVerdict.ANSWERED : CallerVerdict.UNKNOWN,
              new String(answered.body(), StandardCharsets.UTF_8));
      case CallerOutcome.NotRun notRun ->
          end(call, CallerVerdict.NOT_RUN, notRun.report().toString());
      case CallerOutcome.Unknown unknown ->
          end(call, CallerVerdict.UNKNOWN, unknown.report().toString());
    }
  }

  private void noWord(Call call) {
    end(call, CallerVerdict.NO_WORD, "");
  }

  private void end(Call call, CallerVerdict verdict, String body) {
    if (call.ended) {
      return;
    }
    call.ended = true;
    world.journal.add(
        new Observation.RequestEnded(
            world.clock.nowMilliseconds(), call.tag, call.name, verdict, body));
    boolean retry =
        verdict != CallerVerdict.ANSWERED && call.tries < call.command.number("retries", 0);
    if (retry) {
      world.clock.after(RETRY_MILLISECONDS, () -> send(call.command, call.tag, call.tries + 1));
    }
  }

  private void scheduleJobs(ScenarioCommand command) {
    command.requireOptions(JOB_OPTIONS);
    repeat(command, tag -> submit(command, tag));
  }

  private void submit(ScenarioCommand command, String tag) {
    Optional<SimulatedEntry> chosen = choose(command.text("entry", ANY_ENTRY));
    if (chosen.isEmpty()) {
      return;
    }
    SimulatedEntry entry = chosen.get();
    boolean idempotent = command.flag("idempotent", true);
    String key = command.text("key", "none");
    WorkText work =
        new WorkText(tag, command.text("team", teamOf(key)), command.number("run", 500));
    JobSubmissionBody body =
        JobSubmissionBody.newBuilder()
            .setPool(command.text("pool", ""))
            .setDeclared(
                ResourceAmount.newBuilder().setProcessorMillicores(1_000).setMemoryMebibytes(512))
            .setDeclaredRunMilliseconds(work.runMilliseconds())
            .setIdempotent(idempotent)
            .setUrgent(command.flag("urgent", false))
            .setPayload(ByteString.copyFrom(work.content()))
            .setIdempotencyKey(command.flag("once", false) ? tag : "")
            .build();
    world.journal.add(
        new Observation.JobSent(
            world.clock.nowMilliseconds(), tag, entry.process().name(), idempotent));
    entry
        .process()
        .runAfter(
            1,
            () ->
                entry
                    .node()
                    .submitJob(key, body)
                    .thenAccept(result -> world.clock.after(1, () -> submitted(tag, result))));
  }

  private void submitted(String tag, Either<ErrorReport, JobImage> result) {
    long now = world.clock.nowMilliseconds();
    if (result.isLeft()) {
      world.journal.add(new Observation.JobRefused(now, tag, result.getLeft().toString()));
      return;
    }
    String job = result.get().getSubmitted().getJob();
    jobOfTag.put(tag, job);
    world.journal.add(new Observation.JobAcknowledged(now, tag, job));
  }

  private void cancel(ScenarioCommand command) {
    Optional<SimulatedEntry> chosen = choose(command.text("entry", ANY_ENTRY));
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
                    .cancelJobs(command.text("key", "none"), jobs)
                    .thenAccept(result -> world.clock.after(1, () -> cancelled(tags, result))));
  }

  private void cancelled(List<String> tags, Either<ErrorReport, Void> result) {
    if (result.isRight()) {
      world.journal.add(new Observation.JobsCancelled(world.clock.nowMilliseconds(), tags));
    }
  }
}
