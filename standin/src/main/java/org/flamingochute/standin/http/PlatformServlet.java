package org.flamingochute.standin.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.schema.AppendRequest;
import org.flamingochute.schema.AppendResponse;
import org.flamingochute.schema.ErrorBody;
import org.flamingochute.schema.FaultSettings;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.PlatformReport;
import org.flamingochute.schema.PoolOperation;
import org.flamingochute.schema.ReadResponse;
import org.flamingochute.standin.InMemoryInstanceList;
import org.flamingochute.standin.InMemoryPlatformLog;
import org.flamingochute.standin.InMemoryPoolControl;

/**
 * HTTP interface of the platform: log, instance list and pool operations, and the stand-in's own
 * routes for its report and fault settings.
 *
 * <p>A lost response is simulated by never responding on the connection.
 */
final class PlatformServlet {

  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_GONE = 410;
  private static final int STATUS_UNAVAILABLE = 503;

  private final InMemoryPlatformLog log;
  private final InMemoryInstanceList instances;
  private final InMemoryPoolControl poolControl;
  private final long listLagMilliseconds;
  private volatile long logDelayMilliseconds;

  /**
   * Creates the servlet.
   *
   * @param listLagMilliseconds lag of the instance list unless the fault settings override it
   */
  PlatformServlet(
      InMemoryPlatformLog log,
      InMemoryInstanceList instances,
      InMemoryPoolControl poolControl,
      long listLagMilliseconds) {
    this.log = log;
    this.instances = instances;
    this.poolControl = poolControl;
    this.listLagMilliseconds = listLagMilliseconds;
  }

  /** Returns the routes for a server on an event loop. */
  AsyncServlet routes(Reactor reactor) {
    return RoutingServlet.builder(reactor)
        .with(
            HttpMethod.POST,
            "/log/append",
            HttpBodies.binaryServlet(AppendRequest.getDefaultInstance(), this::appendRecords))
        .with(HttpMethod.GET, "/log/records", this::readRecords)
        .with(HttpMethod.GET, "/instances", request -> listInstances())
        .with(
            HttpMethod.POST,
            "/instances/register",
            HttpBodies.jsonServlet(ListedInstance.getDefaultInstance(), this::registerInstance))
        .with(
            HttpMethod.POST,
            "/instances/state",
            HttpBodies.jsonServlet(ListedInstance.getDefaultInstance(), this::changeState))
        .with(
            HttpMethod.POST,
            "/pools/operations",
            HttpBodies.jsonServlet(PoolOperation.getDefaultInstance(), this::performOperation))
        .with(HttpMethod.GET, "/report", request -> HttpBodies.jsonResponse(createReport()))
        .with(
            HttpMethod.POST,
            "/faults",
            HttpBodies.jsonServlet(FaultSettings.getDefaultInstance(), this::applyFaults))
        .build();
  }

  private Promise<HttpResponse> appendRecords(AppendRequest request) {
    List<byte[]> records = new ArrayList<>();
    request.getRecordsList().forEach(record -> records.add(record.toByteArray()));
    return delayResponse(Promise.ofCompletionStage(log.append(records)).then(this::appendResponse));
  }

  private Promise<HttpResponse> appendResponse(Either<PlatformError, Long> result) {
    if (result.isRight()) {
      return HttpBodies.binaryResponse(
          STATUS_OK, AppendResponse.newBuilder().setFirstOffset(result.get()).build());
    }
    return errorResponse(result.getLeft());
  }

  private Promise<HttpResponse> readRecords(HttpRequest request) {
    Either<ErrorReport, Long> from = numberParameter(request, "from");
    if (from.isLeft()) {
      return HttpBodies.errorResponse(STATUS_BAD_REQUEST, from.getLeft());
    }
    Either<ErrorReport, Long> maximum = numberParameter(request, "maximum");
    if (maximum.isLeft()) {
      return HttpBodies.errorResponse(STATUS_BAD_REQUEST, maximum.getLeft());
    }
    int limit = (int) Math.min(Integer.MAX_VALUE, maximum.get());
    return delayResponse(
        Promise.ofCompletionStage(log.read(from.get(), limit)).then(this::readResponse));
  }

  private Promise<HttpResponse> readResponse(Either<PlatformError, ReadResponse> result) {
    if (result.isRight()) {
      return HttpBodies.binaryResponse(STATUS_OK, result.get());
    }
    return errorResponse(result.getLeft());
  }

  private static Either<ErrorReport, Long> numberParameter(HttpRequest request, String parameter) {
    String value = request.getQueryParameter(parameter);
    try {
      return Either.right(Long.parseLong(value == null ? "" : value));
    } catch (NumberFormatException e) {
      return Either.left(
          ErrorReport.of(
              ErrorCode.STAND_IN_PARAMETER, request.getPath(), parameter, value, "a number"));
    }
  }

  private Promise<HttpResponse> errorResponse(PlatformError error) {
    return switch (error) {
      case PlatformError.Refused refused ->
          HttpBodies.jsonResponse(
              STATUS_UNAVAILABLE, ErrorBody.newBuilder().setMessage(refused.detail()).build());
      case PlatformError.Unknown unknown -> new SettablePromise<>();
      case PlatformError.Expired expired ->
          HttpBodies.binaryResponse(
              STATUS_GONE,
              ReadResponse.newBuilder()
                  .setEarliestOffset(expired.earliestOffset())
                  .setNextOffset(log.nextOffset())
                  .build());
    };
  }

  private Promise<HttpResponse> delayResponse(Promise<HttpResponse> response) {
    if (logDelayMilliseconds == 0) {
      return response;
    }
    return response.then(ready -> Promises.delay(logDelayMilliseconds, ready));
  }

  private Promise<HttpResponse> listInstances() {
    return Promise.ofCompletionStage(instances.list())
        .then(listing -> HttpBodies.jsonResponse(listing.get()));
  }

  private Promise<HttpResponse> registerInstance(ListedInstance instance) {
    if (instance.getInstance().isEmpty()) {
      return unknownInstanceResponse(instance);
    }
    instances.register(instance);
    return HttpBodies.jsonResponse(instance);
  }

  private Promise<HttpResponse> changeState(ListedInstance instance) {
    if (!instances.setState(instance.getInstance(), instance.getState())) {
      return unknownInstanceResponse(instance);
    }
    return HttpBodies.jsonResponse(instance);
  }

  private static Promise<HttpResponse> unknownInstanceResponse(ListedInstance instance) {
    return HttpBodies.errorResponse(
        STATUS_NOT_FOUND,
        ErrorReport.of(ErrorCode.STAND_IN_UNKNOWN_INSTANCE, instance.getInstance()));
  }

  private Promise<HttpResponse> performOperation(PoolOperation operation) {
    return Promise.ofCompletionStage(poolControl.perform(operation))
        .then(status -> HttpBodies.jsonResponse(status.get()));
  }

  private PlatformReport createReport() {
    return PlatformReport.newBuilder()
        .setAppends(log.appendCount())
        .setRecords(log.recordCount())
        .setReads(log.readCount())
        .setEarliestOffset(log.earliestOffset())
        .setNextOffset(log.nextOffset())
        .addAllInstances(instances.currentInstances())
        .addAllOperations(poolControl.operations())
        .build();
  }

  private Promise<HttpResponse> applyFaults(FaultSettings faults) {
    log.applyFaults(faults);
    logDelayMilliseconds = faults.getLogDelayMilliseconds();
    instances.setLagMilliseconds(
        faults.hasListLagMilliseconds() ? faults.getListLagMilliseconds() : listLagMilliseconds);
    return HttpBodies.jsonResponse(faults);
  }
}
