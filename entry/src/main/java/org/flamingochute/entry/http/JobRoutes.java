package org.flamingochute.entry.http;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.engine.EntryNode;
import org.flamingochute.schema.JobCancellationBody;
import org.flamingochute.schema.JobSubmissionBody;

/** Jobs: submission, inquiry and cancellation. */
final class JobRoutes implements RouteGroup {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int JOB_PART = 1;

  private final NodeReference node;
  private final InputGuard guard;
  private final JsonBody bodies;

  JobRoutes(NodeReference node, InputGuard guard) {
    this.node = node;
    this.guard = guard;
    this.bodies = new JsonBody(guard);
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, RequestPath path) {
    EntryNode target = node.get().orElse(null);
    if (target == null) {
      return refused(ErrorReport.of(ErrorCode.ENTRY_STARTING));
    }
    String key = request.getHeader(HeaderNames.KEY);
    if (key == null) {
      return refused(ErrorReport.of(ErrorCode.KEY_UNKNOWN));
    }
    String route = request.getMethod() + " " + path;
    if (route.equals("POST /jobs")) {
      return submit(target, key, request);
    }
    if (route.equals("POST /jobs/cancel")) {
      return cancel(target, key, request);
    }
    if (path.partCount() != JOB_PART + 1) {
      return refused(ErrorReport.of(ErrorCode.PATH_UNKNOWN, path));
    }
    if (request.getMethod() != HttpMethod.GET) {
      return refused(ErrorReport.of(ErrorCode.METHOD_NOT_ALLOWED, request.getMethod(), path));
    }
    return Promise.of(show(target, key, path));
  }

  private Promise<HttpResponse> submit(EntryNode target, String key, HttpRequest request) {
    return bodies
        .read(request, JobSubmissionBody.newBuilder(), JobSubmissionBody.class)
        .then(
            body ->
                body.isLeft()
                    ? refused(body.getLeft())
                    : Promise.ofCompletionStage(target.submitJob(key, body.get()))
                        .map(
                            result ->
                                result.fold(JobRoutes::error, job -> Answers.json(ACCEPTED, job))));
  }

  private Promise<HttpResponse> cancel(EntryNode target, String key, HttpRequest request) {
    return bodies
        .read(request, JobCancellationBody.newBuilder(), JobCancellationBody.class)
        .then(
            body -> {
              Either<ErrorReport, List<JobId>> jobs = body.flatMap(this::jobsOf);
              if (jobs.isLeft()) {
                return refused(jobs.getLeft());
              }
              return Promise.ofCompletionStage(target.cancelJobs(key, jobs.get()))
                  .map(result -> result.fold(JobRoutes::error, done -> Answers.text(ACCEPTED, "")));
            });
  }

  private Either<ErrorReport, List<JobId>> jobsOf(JobCancellationBody body) {
    List<JobId> jobs = new ArrayList<>();
    for (String job : body.getJobsList()) {
      if (!Identifiers.isValid(job)) {
        return Either.left(guard.malformed("jobs", job, "is not the name of a job"));
      }
      jobs.add(new JobId(job));
    }
    return Either.right(jobs);
  }

  private HttpResponse show(EntryNode target, String key, RequestPath path) {
    Optional<String> name = path.part(JOB_PART);
    if (name.isEmpty() || !Identifiers.isValid(name.get())) {
      return error(guard.malformed("path", path.toString(), "names no job"));
    }
    return target
        .job(key, new JobId(name.get()))
        .fold(JobRoutes::error, job -> Answers.json(OK, job));
  }

  private static Promise<HttpResponse> refused(ErrorReport report) {
    return Promise.of(error(report));
  }

  private static HttpResponse error(ErrorReport report) {
    boolean unknown = report.code() == ErrorCode.OUTCOME_UNKNOWN;
    return Answers.error(report, unknown ? OutcomeName.UNKNOWN : OutcomeName.NOT_RUN);
  }
}
