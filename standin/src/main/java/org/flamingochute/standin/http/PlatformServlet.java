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
 * The platform's HTTP interface: log, instance list and pool operations, with the report and the
 * fault settings of the stand-in.
 *
 * <p>A lost reply is a connection on which nothing ever arrives.
 */
final class PlatformServlet {

  private static final int STATUS_OK = 200;
  private static final int STATUS_MALFORMED = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_GONE = 410;
  private static final int STATUS_UNAVAILABLE = 503;

  private final InMemoryPlatformLog log;
  private final InMemoryInstanceList instances;
  private final InMemoryPoolControl pools;
  private final long listLagMilliseconds;
  private volatile long logDelayMilliseconds;

  /**
   * Creates the servlet.
   *
   * @param listLagMilliseconds lag of the list while no fault sets another
   */
  PlatformServlet(
      InMemoryPlatformLog log,
      InMemoryInstanceList instances,
      InMemoryPoolControl pools,
      long listLagMilliseconds) {
    this.log = log;
    this.instances = instances;
    this.pools = pools;
    this.listLagMilliseconds = listLagMilliseconds;
  }

  /** Returns the routes for a server on an event loop. */
  AsyncServlet routes(Reactor reactor) {
    return RoutingServlet.builder(reactor)
        .with(
            HttpMethod.POST,
            "/log/append",
            HttpBodies.binary(AppendRequest.getDefaultInstance(), this::append))
        .with(HttpMethod.GET, "/log/records", this::read)
        .with(HttpMethod.GET, "/instances", request -> list())
        .with(
            HttpMethod.POST,
            "/instances/register",
            HttpBodies.json(ListedInstance.getDefaultInstance(), this::register))
        .with(
            HttpMethod.POST,
            "/instances/state",
            HttpBodies.json(ListedInstance.getDefaultInstance(), this::changeState))
        .with(
            HttpMethod.POST,
            "/pools/operations",
            HttpBodies.json(PoolOperation.getDefaultInstance(), this::perform))
        .with(HttpMethod.GET, "/report", request -> HttpBodies.respond(report()))
        .with(
            HttpMethod.POST,
            "/faults",
            HttpBodies.json(FaultSettings.getDefaultInstance(), this::applyFaults))
        .build();
  }

  private Promise<HttpResponse> append(AppendRequest request) {
    List<byte[]> records = new ArrayList<>();
    request.getRecordsList().forEach(record -> records.add(record.toByteArray()));
    return delayed(Promise.ofCompletionStage(log.append(records)).then(this::appendResponse));
  }

  private Promise<HttpResponse> appendResponse(Either<PlatformError, Long> result) {
    if (result.isRight()) {
      return HttpBodies.respondBinary(
          STATUS_OK, AppendResponse.newBuilder().setFirstOffset(result.get()).build());
    }
    return platformError(result.getLeft());
  }

  private Promise<HttpResponse> read(HttpRequest request) {
    Either<ErrorReport, Long> from = number(request, "from");
    if (from.isLeft()) {
      return HttpBodies.error(STATUS_MALFORMED, from.getLeft());
    }
    Either<ErrorReport, Long> maximum = number(request, "maximum");
    if (maximum.isLeft()) {
      return HttpBodies.error(STATUS_MALFORMED, maximum.getLeft());
    }
    int limit = (int) Math.min(Integer.MAX_VALUE, maximum.get());
    return delayed(Promise.ofCompletionStage(log.read(from.get(), limit)).then(this::readResponse));
  }

  private Promise<HttpResponse> readResponse(Either<PlatformError, ReadResponse> result) {
    if (result.isRight()) {
      return HttpBodies.respondBinary(STATUS_OK, result.get());
    }
    return platformError(result.getLeft());
  }

  private static Either<ErrorReport, Long> number(HttpRequest request, String parameter) {
    String value = request.getQueryParameter(parameter);
    try {
      return Either.right(Long.parseLong(value == null ? "" : value));
    } catch (NumberFormatException e) {
      return Either.left(
          ErrorReport.of(
              ErrorCode.STAND_IN_PARAMETER, request.getPath(), parameter, value, "a number"));
    }
  }

  private Promise<HttpResponse> platformError(PlatformError error) {
    return switch (error) {
      case PlatformError.Refused refused ->
          HttpBodies.respond(
              STATUS_UNAVAILABLE, ErrorBody.newBuilder().setMessage(refused.detail()).build());
      case PlatformError.Unknown unknown -> new SettablePromise<>();
      case PlatformError.Expired expired ->
          HttpBodies.respondBinary(
              STATUS_GONE,
              ReadResponse.newBuilder()
                  .setEarliestOffset(expired.earliestOffset())
                  .setNextOffset(log.nextOffset())
                  .build());
    };
  }

  private Promise<HttpResponse> delayed(Promise<HttpResponse> response) {
    if (logDelayMilliseconds == 0) {
      return response;
    }
    return response.then(ready -> Promises.delay(logDelayMilliseconds, ready));
  }

  private Promise<HttpResponse> list() {
    return Promise.ofCompletionStage(instances.list())
        .then(listing -> HttpBodies.respond(listing.get()));
  }

  private Promise<HttpResponse> register(ListedInstance instance) {
    if (instance.getInstance().isEmpty()) {
      return unknownInstance(instance);
    }
    instances.register(instance);
    return HttpBodies.respond(instance);
  }

  private Promise<HttpResponse> changeState(ListedInstance instance) {
    if (!instances.setState(instance.getInstance(), instance.getState())) {
      return unknownInstance(instance);
    }
    return HttpBodies.respond(instance);
  }

  private static Promise<HttpResponse> unknownInstance(ListedInstance instance) {
    return HttpBodies.error(
        STATUS_NOT_FOUND,
        ErrorReport.of(ErrorCode.STAND_IN_UNKNOWN_INSTANCE, instance.getInstance()));
  }

  private Promise<HttpResponse> perform(PoolOperation operation) {
    return Promise.ofCompletionStage(pools.perform(operation))
        .then(status -> HttpBodies.respond(status.get()));
  }

  private PlatformReport report() {
    return PlatformReport.newBuilder()
        .setAppends(log.appendCount())
        .setRecords(log.recordCount())
        .setReads(log.readCount())
        .setEarliestOffset(log.earliestOffset())
        .setNextOffset(log.nextOffset())
        .addAllInstances(instances.currentInstances())
        .addAllOperations(pools.operations())
        .build();
  }

  private Promise<HttpResponse> applyFaults(FaultSettings faults) {
    log.applyFaults(faults);
    logDelayMilliseconds = faults.getLogDelayMilliseconds();
    instances.setLagMilliseconds(
        faults.hasListLagMilliseconds() ? faults.getListLagMilliseconds() : listLagMilliseconds);
    return HttpBodies.respond(faults);
  }
}
