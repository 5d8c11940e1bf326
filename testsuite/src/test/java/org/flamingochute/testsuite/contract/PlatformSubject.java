package org.flamingochute.testsuite.contract;

import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.InstanceList;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.platform.PoolControl;
import org.flamingochute.platform.WorkerControl;

/** One implementation of all interfaces, with the means to set up what a contract test needs. */
interface PlatformSubject extends AutoCloseable {

  /** Name of the runner that every subject has. */
  String RUNNER = "proofs-0";

  /** Name of the worker that every subject has. */
  String WORKER = "print-0";

  /** Records that the subject's log keeps. */
  int RETAINED_RECORDS = 10;

  /** Returns the log. */
  PlatformLog log();

  /** Returns the instance list. */
  InstanceList instanceList();

  /** Returns pool control. */
  PoolControl poolControl();

  /** Returns worker control. */
  WorkerControl workerControl();

  /** Returns the endpoint client. */
  EndpointClient endpointClient();

  /** Returns the address of an instance. */
  String addressOf(String instance);

  /** Returns an address that nobody listens on. */
  String unreachableAddress();

  /** Returns the payload of a job that succeeds after a run time in milliseconds. */
  byte[] job(String tag, long runMilliseconds);

  /** Makes the log unreachable. */
  void takeLogDown();

  /** Loses the reply of the next append. */
  void loseNextReply();

  /** Stores the next append twice. */
  void repeatNextAppend();

  /** Waits for a result; in virtual time the clock is moved on. */
  <T> T await(CompletableFuture<T> future);

  /** Lets time pass. */
  void passMilliseconds(long milliseconds);

  @Override
  void close();
}
