package org.flamingochute.standin.http;

import com.google.protobuf.Message;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import io.vavr.control.Either;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.schema.ErrorBody;
import org.flamingochute.schema.InstancePower;
import org.flamingochute.schema.TaskStart;
import org.flamingochute.standin.StandInWorker;

/** HTTP interface of a stand-in worker. */
final class WorkerServlet {

  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final String LEASE_PARAMETER = "lease-milliseconds";

  private final StandInWorker worker;

  /** Creates the servlet of a worker. */
  WorkerServlet(StandInWorker worker) {
    this.worker = worker;
  }

  /** Returns the routes for a server on an event loop. */
  AsyncServlet routes(Reactor reactor) {
    TaskStart prototype = TaskStart.getDefaultInstance();
    return RoutingServlet.builder(reactor)
        .with(
            HttpMethod.POST,
            "/tasks/start",
            HttpBodies.jsonServlet(prototype, start -> toResponse(worker.start(start))))
        .with(
            HttpMethod.POST,
            "/tasks/status",
            HttpBodies.jsonServlet(
                prototype, task -> toResponse(worker.status(task.getJob(), task.getAttempt()))))
        .with(
            HttpMethod.POST,
            "/tasks/stop",
            HttpBodies.jsonServlet(
                prototype, task -> toResponse(worker.stop(task.getJob(), task.getAttempt()))))
        .with(HttpMethod.POST, "/tasks/renew", this::renewLeases)
        .with(
            HttpMethod.POST,
            RunnerServlet.POWER_PATH,
            HttpBodies.jsonServlet(InstancePower.getDefaultInstance(), this::setPower))
        .build();
  }

  private Promise<HttpResponse> renewLeases(HttpRequest request) {
    String lease = request.getQueryParameter(LEASE_PARAMETER);
    try {
      return toResponse(worker.renew(Long.parseLong(lease == null ? "" : lease)));
    } catch (NumberFormatException e) {
      return HttpBodies.errorResponse(
          STATUS_BAD_REQUEST,
          ErrorReport.of(
              ErrorCode.STAND_IN_PARAMETER,
              request.getPath(),
              LEASE_PARAMETER,
              lease,
              "a number of milliseconds"));
    }
  }

  private Promise<HttpResponse> setPower(InstancePower settings) {
    worker.setPower(settings.getOn());
    return HttpBodies.jsonResponse(settings);
  }

  private static Promise<HttpResponse> toResponse(Either<PlatformError, ? extends Message> result) {
    if (result.isRight()) {
      return HttpBodies.jsonResponse(result.get());
    }
    return HttpBodies.jsonResponse(
        STATUS_UNAVAILABLE, ErrorBody.newBuilder().setMessage(result.getLeft().detail()).build());
  }
}
