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

/** Routes for submitting, reading and cancelling jobs, below {@code /jobs}. */
final class JobRoutes implements RouteGroup {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int JOB_SEGMENT = 1;

  private final NodeReference node;
  private final RequestValidator validator;
  private final JsonBodyReader bodyReader;

  JobRoutes(NodeReference node, RequestValidator validator) {
    this.node = node;
    this.validator = validator;
    this.bodyReader = new JsonBodyReader(validator);
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, RequestPath path) {
    EntryNode target = node.get().orElse(null);
    if (target == null) {
      return errorPromise(ErrorReport.of(ErrorCode.ENTRY_STARTING));
    }
    String key = request.getHeader(HeaderNames.KEY);
    if (key == null) {
      return errorPromise(ErrorReport.of(ErrorCode.KEY_UNKNOWN));
    }
    String route = request.getMethod() + " " + path;
    if (route.equals("POST /jobs")) {
      return submitJob(target, key, request);
    }
    if (route.equals("POST /jobs/cancel")) {
      return cancelJobs(target, key, request);
    }
    if (path.segmentCount() != JOB_SEGMENT + 1) {
      return errorPromise(ErrorReport.of(ErrorCode.PATH_UNKNOWN, path));
    }
    if (request.getMethod() != HttpMethod.GET) {
      return errorPromise(ErrorReport.of(ErrorCode.METHOD_NOT_ALLOWED, request.getMethod(), path));
    }
    return Promise.of(showJob(target, key, path));
  }

  private Promise<HttpResponse> submitJob(EntryNode target, String key, HttpRequest request) {
    return bodyReader
        .read(request, JobSubmissionBody.newBuilder(), JobSubmissionBody.class)
        .then(
            body ->
                body.isLeft()
                    ? errorPromise(body.getLeft())
                    : Promise.ofCompletionStage(target.submitJob(key, body.get()))
                        .map(
                            result ->
                                result.fold(
                                    JobRoutes::errorResponse,
                                    job -> HttpResponses.jsonResponse(ACCEPTED, job))));
  }

  private Promise<HttpResponse> cancelJobs(EntryNode target, String key, HttpRequest request) {
    return bodyReader
        .read(request, JobCancellationBody.newBuilder(), JobCancellationBody.class)
        .then(
            body -> {
              Either<ErrorReport, List<JobId>> jobs = body.flatMap(this::toJobIds);
              if (jobs.isLeft()) {
                return errorPromise(jobs.getLeft());
              }
              return Promise.ofCompletionStage(target.cancelJobs(key, jobs.get()))
                  .map(
                      result ->
                          result.fold(
                              JobRoutes::errorResponse,
                              done -> HttpResponses.textResponse(ACCEPTED, "")));
            });
  }

  private Either<ErrorReport, List<JobId>> toJobIds(JobCancellationBody body) {
    List<JobId> jobs = new ArrayList<>();
    for (String job : body.getJobsList()) {
      if (!Identifiers.isValid(job)) {
        return Either.left(validator.reportMalformed("jobs", job, "is not a valid job name"));
      }
      jobs.add(new JobId(job));
    }
    return Either.right(jobs);
  }

  private HttpResponse showJob(EntryNode target, String key, RequestPath path) {
    Optional<String> name = path.segment(JOB_SEGMENT);
    if (name.isEmpty() || !Identifiers.isValid(name.get())) {
      return errorResponse(
          validator.reportMalformed("path", path.toString(), "does not name a job"));
    }
    return target
        .job(key, new JobId(name.get()))
        .fold(JobRoutes::errorResponse, job -> HttpResponses.jsonResponse(OK, job));
  }

  private static Promise<HttpResponse> errorPromise(ErrorReport report) {
    return Promise.of(errorResponse(report));
  }

  private static HttpResponse errorResponse(ErrorReport report) {
    boolean isOutcomeUnknown = report.code() == ErrorCode.OUTCOME_UNKNOWN;
    return HttpResponses.errorResponse(
        report, isOutcomeUnknown ? OutcomeName.UNKNOWN : OutcomeName.NOT_RUN);
  }
}
