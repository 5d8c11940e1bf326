package org.flamingochute.entry;

import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.engine.CallerRequest;
import org.flamingochute.engine.EntryNode;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.FleetSection;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobSubmissionBody;
import org.flamingochute.schema.JobSubmitted;
import org.flamingochute.schema.StatusReport;

/**
 * A node that records requests, job submissions, cancellations and patches, and responds to
 * requests and patches with functions that a test can replace.
 */
public class FakeEntryNode implements EntryNode {
  public static final String KEY = "team-key";
  public static final String OPERATOR = "ana";
  public static final String OPERATOR_KEY = "operator-key";

  public final List<CallerRequest> requests = new CopyOnWriteArrayList<>();
  public final List<String> calls = new CopyOnWriteArrayList<>();
  public volatile Function<CallerRequest, CallerOutcome> requestHandler =
      request -> new CallerOutcome.Answered(200, List.of(), request.body());
  public volatile Function<FleetPatch, Either<ErrorReport, AuditEntry>> patchHandler =
      patch ->
          Either.right(
              AuditEntry.newBuilder()
                  .setAccepted(true)
                  .setOperatorName(patch.getOperatorName())
                  .build());
  public volatile boolean ready = true;
  public volatile boolean started;
  public volatile boolean stopped;

  @Override
  public void start() {
    started = true;
  }

  @Override
  public CompletableFuture<Void> stop() {
    ready = false;
    stopped = true;
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public boolean isReady() {
    return ready;
  }

  @Override
  public CompletableFuture<CallerOutcome> request(CallerRequest request) {
    requests.add(request);
    return CompletableFuture.supplyAsync(() -> requestHandler.apply(request));
  }

  @Override
  public CompletableFuture<Either<ErrorReport, JobImage>> submitJob(
      String key, JobSubmissionBody job) {
    if (!key.equals(KEY)) {
      return CompletableFuture.completedFuture(Either.left(ErrorReport.of(ErrorCode.KEY_UNKNOWN)));
    }
    calls.add("submit " + job.getPool());
    return CompletableFuture.completedFuture(Either.right(jobImage("j1")));
  }

  private static JobImage jobImage(String job) {
    return JobImage.newBuilder().setSubmitted(JobSubmitted.newBuilder().setJob(job)).build();
  }

  @Override
  public Either<ErrorReport, JobImage> job(String key, JobId job) {
    if (!job.value().equals("j1")) {
      return Either.left(ErrorReport.of(ErrorCode.JOB_UNKNOWN, job));
    }
    return Either.right(jobImage("j1"));
  }

  @Override
  public CompletableFuture<Either<ErrorReport, Void>> cancelJobs(String key, List<JobId> jobs) {
    calls.add("cancel " + jobs);
    return CompletableFuture.completedFuture(Either.right(null));
  }

  @Override
  public Either<ErrorReport, Void> authorizeOperator(String operator, String operatorKey) {
    if (operator.equals(OPERATOR) && operatorKey.equals(OPERATOR_KEY)) {
      return Either.right(null);
    }
    return Either.left(ErrorReport.of(ErrorCode.OPERATOR_UNKNOWN, operator));
  }

  @Override
  public CompletableFuture<Either<ErrorReport, AuditEntry>> patch(
      String operatorKey, FleetPatch patch) {
    calls.add("patch " + patch.getPatchId());
    return CompletableFuture.completedFuture(patchHandler.apply(patch));
  }

  @Override
  public AgreedView agreed() {
    FleetDescription description =
        FleetDescription.newBuilder()
            .setVersion(7)
            .setFleet(FleetSection.newBuilder().setMaximumRequestMilliseconds(9000))
            .build();
    return (AgreedView)
        Proxy.newProxyInstance(
            AgreedView.class.getClassLoader(),
            new Class<?>[] {AgreedView.class},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "description" -> description;
                  case "audit" -> List.of(AuditEntry.newBuilder().setPatchId("p1").build());
                  default -> throw new IllegalStateException(method.getName());
                });
  }

  @Override
  public StatusReport status() {
    return StatusReport.newBuilder().setVersion(7).setReady(ready).build();
  }
}
