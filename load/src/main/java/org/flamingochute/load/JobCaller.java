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
 * Submits jobs and asks about them until they are at their end.
 *
 * <p>The submission is repeated with the same idempotency key until an entry acknowledges it or
 * refuses it for good. A refusal for want of capacity (429, 503) or an unknown outcome (504) is
 * repeated.
 */
public final class JobCaller {

  private static final String KEY = "Flamingochute-Key";
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
  private static final long TIMEOUT_MILLISECONDS = 5000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_ACCEPTED = 202;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int STATUS_TOO_MANY = 429;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final byte[] EMPTY = new byte[0];

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
   * Submits a job and follows it; what is seen goes to the recorder.
   *
   * @param tag unique to the job
   * @param key the team's key
   */
  public void submit(String tag, String team, String key, JobSubmissionBody body) {
    JobRecord record =
        JobRecord.newBuilder()
            .setTag(tag)
            .setTeam(team)
            .setIdempotent(body.getIdempotent())
            .build();
    recorder.jobSeen(record);
    trySubmit(record, key, body);
  }

  private void trySubmit(JobRecord record, String key, JobSubmissionBody body) {
    NumericAddress entry = balancer.next();
    byte[] text;
    try {
      text = JsonFormat.printer().print(body).getBytes(StandardCharsets.UTF_8);
    } catch (InvalidProtocolBufferException e) {
      recorder.jobSeen(record.toBuilder().setSubmissionRefused(true).build());
      return;
    }
    send(entry, HttpMethod.POST, "/jobs", key, text)
        .thenAccept(result -> submitted(record, key, body, entry, result));
  }

  private void submitted(
      JobRecord record,
      String key,
      JobSubmissionBody body,
      NumericAddress entry,
      ExchangeResult result) {
    if (result instanceof ExchangeResult.Answered answered) {
      Optional<JobImage> image = imageOf(answered);
      if (answered.status() == STATUS_ACCEPTED && image.isPresent()) {
        JobRecord known =
            record.toBuilder()
                .setJob(image.get().getSubmitted().getJob())
                .setPhase(image.get().getPhase())
                .build();
        recorder.jobSeen(known);
        schedulePoll(known, key);
        return;
      }
      if (isFinalRefusal(answered.status())) {
        recorder.jobSeen(record.toBuilder().setSubmissionRefused(true).build());
        return;
      }
    }
    pauseUnreachable(entry, result);
    timers.schedule(POLL_INTERVAL, () -> trySubmit(record, key, body));
  }

  private static boolean isFinalRefusal(int status) {
    return status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR && status != STATUS_TOO_MANY;
  }

  private void pauseUnreachable(NumericAddress entry, ExchangeResult result) {
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
    send(entry, HttpMethod.GET, "/jobs/" + record.getJob(), key, EMPTY)
        .thenAccept(
            result -> {
              pauseUnreachable(entry, result);
              JobRecord seen = withPhase(record, result);
              recorder.jobSeen(seen);
              schedulePoll(seen, key);
            });
  }

  /** A job that an entry does not know loses its phase; so it counts as lost if it stays so. */
  private static JobRecord withPhase(JobRecord record, ExchangeResult result) {
    if (!(result instanceof ExchangeResult.Answered answered)) {
      return record;
    }
    if (answered.status() == STATUS_NOT_FOUND) {
      return record.toBuilder().setPhase(JobPhase.JOB_PHASE_UNSPECIFIED).build();
    }
    if (answered.status() != STATUS_OK) {
      return record;
    }
    return imageOf(answered)
        .map(image -> record.toBuilder().setPhase(image.getPhase()).build())
        .orElse(record);
  }

  private static Optional<JobImage> imageOf(ExchangeResult.Answered answered) {
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
            List.of(new HeaderField(KEY, key)),
            body,
            TIMEOUT_MILLISECONDS,
            ConnectionReuse.ALLOWED,
            Optional.empty()));
  }
}
