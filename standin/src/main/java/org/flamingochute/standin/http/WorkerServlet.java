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

/** Serves the task operations of one stand-in worker. */
final class WorkerServlet {

  private static final int STATUS_MALFORMED = 400;
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
            HttpBodies.json(prototype, start -> respond(worker.start(start))))
        .with(
            HttpMethod.POST,
            "/tasks/status",
            HttpBodies.json(
                prototype, task -> respond(worker.status(task.getJob(), task.getAttempt()))))
        .with(
            HttpMethod.POST,
            "/tasks/stop",
            HttpBodies.json(
                prototype, task -> respond(worker.stop(task.getJob(), task.getAttempt()))))
        .with(HttpMethod.POST, "/tasks/renew", this::renew)
        .with(
            HttpMethod.POST,
            RunnerServlet.POWER_PATH,
            HttpBodies.json(InstancePower.getDefaultInstance(), this::setPower))
        .build();
  }

  private Promise<HttpResponse> renew(HttpRequest request) {
    String lease = request.getQueryParameter(LEASE_PARAMETER);
    try {
      return respond(worker.renew(Long.parseLong(lease == null ? "" : lease)));
    } catch (NumberFormatException e) {
      return HttpBodies.error(
          STATUS_MALFORMED,
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
    return HttpBodies.respond(settings);
  }

  private static Promise<HttpResponse> respond(Either<PlatformError, ? extends Message> result) {
    if (result.isRight()) {
      return HttpBodies.respond(result.get());
    }
    return HttpBodies.respond(
        STATUS_UNAVAILABLE, ErrorBody.newBuilder().setMessage(result.getLeft().detail()).build());
  }
}
