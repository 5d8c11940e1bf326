package org.flamingochute.testsuite.contract;

import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.InstanceList;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.platform.PoolControl;
import org.flamingochute.platform.WorkerControl;

/** An implementation of all external interfaces, with operations to prepare contract tests. */
interface PlatformSubject extends AutoCloseable {

  /** Name of the runner that every implementation provides. */
  String RUNNER = "proofs-0";

  /** Name of the worker that every implementation provides. */
  String WORKER = "print-0";

  /** Number of records that the log retains. */
  int RETAINED_RECORDS = 10;

  /** Returns the log. */
  PlatformLog log();

  /** Returns the instance list. */
  InstanceList instanceList();

  /** Returns the pool control client. */
  PoolControl poolControl();

  /** Returns the worker control client. */
  WorkerControl workerControl();

  /** Returns the endpoint client. */
  EndpointClient endpointClient();

  /** Returns the address of the runner or the worker. */
  String addressOf(String instance);

  /** Returns an address without a listener. */
  String unreachableAddress();

  /** Returns the payload of a task or request that succeeds after a run time in milliseconds. */
  byte[] taskPayload(String tag, long runMilliseconds);

  /** Makes the log unavailable. */
  void makeLogUnavailable();

  /** Drops the response to the next append, whose records are stored nevertheless. */
  void dropNextAppendResponse();

  /** Stores the records of the next append twice. */
  void duplicateNextAppend();

  /** Waits for a result; a simulation advances its virtual clock. */
  <T> T await(CompletableFuture<T> future);

  /** Waits for a time in milliseconds, or advances the virtual clock by it. */
  void advanceMilliseconds(long milliseconds);

  @Override
  void close();
}
