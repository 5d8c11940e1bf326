package org.flamingochute.load;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.activej.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.http.ConnectionReuse;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeRequest;
import org.flamingochute.platform.http.ExchangeResult;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.JobRecord;
import org.flamingochute.schema.JobSubmissionBody;

/**
 * Submits jobs and polls them until they reach a terminal phase.
 *
 * <p>A submission is retried with the same idempotency key until an entry acknowledges it or
 * refuses it permanently with a status from 400 to 499 other than 429. All else is retried, for
 * example a lack of capacity (429, 503), an unknown outcome (504) or a missing response.
 */
public final class JobCaller {

  private static final String KEY_HEADER = "Flamingochute-Key";
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
  private static final long TIMEOUT_MILLISECONDS = 5000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_ACCEPTED = 202;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final byte[] EMPTY_BODY = new byte[0];

  private final Balancer balancer;
  private final ExchangeClient client;
  private final Timers timers;
  private final CallRecorder recorder;

  /** Creates a caller. */
  public JobCaller(Balancer balancer, ExchangeClient client, Timers timers, CallRecorder recorder) {
    this.balancer = balancer;
    this.client = client;
    this.timers = timers;
    this.recorder = recorder;
  }

  /**
   * Submits a job and polls it; all states are passed to the recorder.
   *
   * @param tag unique tag of the job
   * @param key API key of the team
   */
  public void submit(String tag, String team, String key, JobSubmissionBody body) {
    JobRecord record =
        JobRecord.newBuilder()
            .setTag(tag)
            .setTeam(team)
            .setIdempotent(body.getIdempotent())
            .build();
    recorder.recordJob(record);
    sendSubmission(record, key, body);
  }

  private void sendSubmission(JobRecord record, String key, JobSubmissionBody body) {
    NumericAddress entry = balancer.next();
    byte[] text;
    try {
      text = JsonFormat.printer().print(body).getBytes(StandardCharsets.UTF_8);
    } catch (InvalidProtocolBufferException e) {
      recorder.recordJob(record.toBuilder().setSubmissionRefused(true).build());
      return;
    }
    send(entry, HttpMethod.POST, "/jobs", key, text)
        .thenAccept(result -> handleSubmissionResult(record, key, body, entry, result));
  }

  private void handleSubmissionResult(
      JobRecord record,
      String key,
      JobSubmissionBody body,
      NumericAddress entry,
      ExchangeResult result) {
    if (result instanceof ExchangeResult.Answered answered) {
      Optional<JobImage> image = parseImage(answered);
      if (answered.status() == STATUS_ACCEPTED && image.isPresent()) {
        JobRecord acknowledged =
            record.toBuilder()
                .setJob(image.get().getSubmitted().getJob())
                .setPhase(image.get().getPhase())
                .build();
        recorder.recordJob(acknowledged);
        schedulePoll(acknowledged, key);
        return;
      }
      if (isPermanentRefusal(answered.status())) {
        recorder.recordJob(record.toBuilder().setSubmissionRefused(true).build());
        return;
      }
    }
    pauseIfUnreachable(entry, result);
    timers.schedule(POLL_INTERVAL, () -> sendSubmission(record, key, body));
  }

  private static boolean isPermanentRefusal(int status) {
    return status >= FIRST_CLIENT_ERROR
        && status < FIRST_SERVER_ERROR
        && status != STATUS_TOO_MANY_REQUESTS;
  }

  private void pauseIfUnreachable(NumericAddress entry, ExchangeResult result) {
    if (result instanceof ExchangeResult.NotRun notRun && !notRun.busy()) {
      balancer.pause(entry);
    }
  }

  private void schedulePoll(JobRecord record, String key) {
    if (CallRecorder.isTerminal(record.getPhase())) {
      return;
    }
    timers.schedule(POLL_INTERVAL, () -> poll(record, key));
  }

  private void poll(JobRecord record, String key) {
    NumericAddress entry = balancer.next();
    send(entry, HttpMethod.GET, "/jobs/" + record.getJob(), key, EMPTY_BODY)
        .thenAccept(
            result -> {
              pauseIfUnreachable(entry, result);
              JobRecord updated = updatePhase(record, result);
              recorder.recordJob(updated);
              schedulePoll(updated, key);
            });
  }

  /**
   * Returns the record with the phase of a response. If the entry responds that the job is unknown,
   * the phase is reset, so that the job counts as lost unless it is found again.
   */
  private static JobRecord updatePhase(JobRecord record, ExchangeResult result) {
    if (!(result instanceof ExchangeResult.Answered answered)) {
      return record;
    }
    if (answered.status() == STATUS_NOT_FOUND) {
      return record.toBuilder().setPhase(JobPhase.JOB_PHASE_UNSPECIFIED).build();
    }
    if (answered.status() != STATUS_OK) {
      return record;
    }
    return parseImage(answered)
        .map(image -> record.toBuilder().setPhase(image.getPhase()).build())
        .orElse(record);
  }

  private static Optional<JobImage> parseImage(ExchangeResult.Answered answered) {
    JobImage.Builder image = JobImage.newBuilder();
    try {
      String text = new String(answered.body(), StandardCharsets.UTF_8);
      JsonFormat.parser().ignoringUnknownFields().merge(text, image);
      return Optional.of(image.build());
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  private CompletableFuture<ExchangeResult> send(
      NumericAddress entry, HttpMethod method, String path, String key, byte[] body) {
    return client.send(
        new ExchangeRequest(
            entry,
            method,
            path,
            List.of(new HeaderField(KEY_HEADER, key)),
            body,
            TIMEOUT_MILLISECONDS,
            ConnectionReuse.ALLOWED,
            Optional.empty()));
  }
}
