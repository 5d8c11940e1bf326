package org.flamingochute.standin;

import io.vavr.control.Either;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.WorkerControl;
import org.flamingochute.schema.TaskListing;
import org.flamingochute.schema.TaskStart;
import org.flamingochute.schema.TaskStatus;

/** A worker control that calls stand-in workers in the same process by address. */
public final class InMemoryWorkerControl implements WorkerControl {

  private final Map<String, StandInWorker> workers = new ConcurrentHashMap<>();

  /** Makes a worker reachable at an address. */
  public void register(String address, StandInWorker worker) {
    workers.put(address, worker);
  }

  /** Makes an address unreachable. */
  public void unregister(String address) {
    workers.remove(address);
  }

  @Override
  public CompletableFuture<Either<PlatformError, TaskStatus>> start(
      String workerAddress, TaskStart start) {
    return call(workerAddress, worker -> worker.start(start));
  }

  @Override
  public CompletableFuture<Either<PlatformError, TaskStatus>> status(
      String workerAddress, String job, int attempt) {
    return call(workerAddress, worker -> worker.status(job, attempt));
  }

  @Override
  public CompletableFuture<Either<PlatformError, TaskListing>> renew(
      String workerAddress, long leaseMilliseconds) {
    return call(workerAddress, worker -> worker.renew(leaseMilliseconds));
  }

  @Override
  public CompletableFuture<Either<PlatformError, TaskStatus>> stop(
      String workerAddress, String job, int attempt) {
    return call(workerAddress, worker -> worker.stop(job, attempt));
  }

  private <T> CompletableFuture<Either<PlatformError, T>> call(
      String address, Function<StandInWorker, Either<PlatformError, T>> action) {
    StandInWorker worker = workers.get(address);
    if (worker == null) {
      return CompletableFuture.completedFuture(
          Either.left(new PlatformError.Refused("no connection to " + address)));
    }
    return CompletableFuture.completedFuture(action.apply(worker));
  }
}
