package org.flamingochute.testsuite.contract;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.flamingochute.platform.EndpointOutcome;
import org.flamingochute.platform.EndpointRequest;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.PoolAction;
import org.flamingochute.schema.PoolOperation;
import org.flamingochute.schema.PoolOperationStatus;
import org.flamingochute.schema.ReadResponse;
import org.flamingochute.schema.TaskPhase;
import org.flamingochute.schema.TaskStart;
import org.flamingochute.schema.TaskStatus;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the contract of each external interface against both implementations. */
final class PlatformContractTest {

  private static final long FAR_FUTURE_MILLISECONDS = 4_000_000_000_000L;
  private static final int MAXIMUM_POLLS = 200;
  private static final long POLL_INTERVAL_MILLISECONDS = 20;

  static List<Named<Supplier<PlatformSubject>>> subjects() {
    return List.of(
        Named.of("simulation", SimulatedSubject::new),
        Named.of("stand-in over HTTP", StandInSubject::new));
  }

  private static byte[] record(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static List<String> texts(ReadResponse response) {
    return response.getRecordsList().stream()
        .map(stored -> stored.getRecord().toStringUtf8())
        .toList();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void logPreservesAppendOrder(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      PlatformLog log = subject.log();
      assertThat(
          subject.await(log.append(List.of(record("one"), record("two")))), is(Either.right(0L)));
      assertThat(subject.await(log.append(List.of(record("three")))), is(Either.right(2L)));
      ReadResponse all = subject.await(log.read(0, 10)).get();
      assertThat(texts(all), equalTo(List.of("one", "two", "three")));
      assertThat(all.getNextOffset(), equalTo(3L));
      assertThat(texts(subject.await(log.read(1, 1)).get()), equalTo(List.of("two")));
      assertThat(texts(subject.await(log.read(3, 10)).get()), equalTo(List.of()));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void expiredReadReturnsEarliestOffset(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      for (int i = 0; i < PlatformSubject.RETAINED_RECORDS + 5; i++) {
        subject.await(subject.log().append(List.of(record("record" + i))));
      }
      PlatformError error = subject.await(subject.log().read(0, 10)).getLeft();
      assertThat(error, instanceOf(PlatformError.Expired.class));
      assertThat(((PlatformError.Expired) error).earliestOffset(), equalTo(5L));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void appendWithLostResponseIsUnknownButStored(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      subject.dropNextAppendResponse();
      PlatformError error = subject.await(subject.log().append(List.of(record("a")))).getLeft();
      assertThat(error, instanceOf(PlatformError.Unknown.class));
      assertThat(texts(subject.await(subject.log().read(0, 10)).get()), equalTo(List.of("a")));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void duplicatedAppendIsReadTwice(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      subject.duplicateNextAppend();
      subject.await(subject.log().append(List.of(record("a"))));
      assertThat(texts(subject.await(subject.log().read(0, 10)).get()), equalTo(List.of("a", "a")));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void unavailableLogReturnsErrors(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      subject.makeLogUnavailable();
      assertThat(subject.await(subject.log().append(List.of(record("a")))).isLeft(), is(true));
      assertThat(subject.await(subject.log().read(0, 10)).isLeft(), is(true));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void instanceListContainsEveryInstance(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      subject.advanceMilliseconds(1_000);
      List<String> names = new ArrayList<>();
      for (ListedInstance listed :
          subject.await(subject.instanceList().list()).get().getInstancesList()) {
        names.add(listed.getInstance());
        assertThat(listed.getState(), equalTo(InstanceState.INSTANCE_LIVE));
        assertThat(listed.getRack(), not(equalTo("")));
        assertThat(listed.getAddress(), not(equalTo("")));
      }
      assertThat(names, hasItems(PlatformSubject.RUNNER, PlatformSubject.WORKER));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void poolOperationsAreIdempotent(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      perform(subject, "o1", PoolAction.POOL_DRAIN);
      assertThat(hasState(subject, InstanceState.INSTANCE_LEAVING), is(true));
      perform(subject, "o1", PoolAction.POOL_REBOOT);
      perform(subject, "o1", PoolAction.POOL_RETURN);
      assertThat(hasState(subject, InstanceState.INSTANCE_LIVE), is(true));
      perform(subject, "o1", PoolAction.POOL_DRAIN);
      assertThat(hasState(subject, InstanceState.INSTANCE_LIVE), is(true));
    }
  }

  private static void perform(PlatformSubject subject, String operation, PoolAction action) {
    PoolOperation request =
        PoolOperation.newBuilder()
            .setOperation(operation)
            .setInstance(PlatformSubject.RUNNER)
            .setAction(action)
            .build();
    for (int i = 0; i < MAXIMUM_POLLS; i++) {
      PoolOperationStatus status = subject.await(subject.poolControl().perform(request)).get();
      assertThat(status.getDetail(), status.getFailed(), is(false));
      if (status.getDone()) {
        return;
      }
      subject.advanceMilliseconds(POLL_INTERVAL_MILLISECONDS);
    }
    throw new AssertionError(action + " was not completed");
  }

  private static boolean hasState(PlatformSubject subject, InstanceState wanted) {
    subject.advanceMilliseconds(1_000);
    return subject.await(subject.instanceList().list()).get().getInstancesList().stream()
        .anyMatch(
            listed ->
                listed.getInstance().equals(PlatformSubject.RUNNER) && listed.getState() == wanted);
  }

  private static TaskStart createTaskStart(PlatformSubject subject, String job, long beginBefore) {
    return TaskStart.newBuilder()
        .setJob(job)
        .setAttempt(1)
        .setPayload(ByteString.copyFrom(subject.taskPayload(job, 50)))
        .setLeaseMilliseconds(60_000)
        .setBeginBeforeMilliseconds(beginBefore)
        .build();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void taskSucceedsAfterRepeatedStart(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      String address = subject.addressOf(PlatformSubject.WORKER);
      TaskStart start = createTaskStart(subject, "job1", FAR_FUTURE_MILLISECONDS);
      TaskStatus first = subject.await(subject.workerControl().start(address, start)).get();
      assertThat(first.getPhase(), equalTo(TaskPhase.TASK_RUNNING));
      assertThat(
          subject.await(subject.workerControl().start(address, start)).get().getPhase(),
          not(equalTo(TaskPhase.TASK_NEVER_BEGUN)));
      assertThat(awaitFinalPhase(subject, address, "job1"), equalTo(TaskPhase.TASK_SUCCEEDED));
    }
  }

  private static TaskPhase awaitFinalPhase(PlatformSubject subject, String address, String job) {
    TaskPhase phase = TaskPhase.TASK_RUNNING;
    for (int i = 0; i < MAXIMUM_POLLS && phase == TaskPhase.TASK_RUNNING; i++) {
      subject.advanceMilliseconds(POLL_INTERVAL_MILLISECONDS);
      phase = subject.await(subject.workerControl().status(address, job, 1)).get().getPhase();
    }
    return phase;
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void workerRejectsStartAfterReportingNeverBegun(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      String address = subject.addressOf(PlatformSubject.WORKER);
      assertThat(
          subject.await(subject.workerControl().status(address, "job1", 1)).get().getPhase(),
          equalTo(TaskPhase.TASK_NEVER_BEGUN));
      TaskStart start = createTaskStart(subject, "job1", FAR_FUTURE_MILLISECONDS);
      assertThat(
          subject.await(subject.workerControl().start(address, start)).get().getPhase(),
          equalTo(TaskPhase.TASK_NEVER_BEGUN));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void workerRejectsStartAfterDeadline(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      String address = subject.addressOf(PlatformSubject.WORKER);
      TaskStart start = createTaskStart(subject, "job1", 1);
      assertThat(
          subject.await(subject.workerControl().start(address, start)).get().getPhase(),
          equalTo(TaskPhase.TASK_NEVER_BEGUN));
    }
  }

  private static EndpointRequest request(PlatformSubject subject, String tag) {
    return new EndpointRequest(
        tag,
        "POST",
        "/work",
        List.of(new HeaderField("X-Request-Tag", tag), new HeaderField("X-Team-Tag", "captains")),
        subject.taskPayload(tag, 20),
        10_000,
        false);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void endpointReturnsMatchingResponseForEachRequest(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      String address = subject.addressOf(PlatformSubject.RUNNER);
      for (String tag : List.of("r1", "r2", "r3")) {
        EndpointOutcome outcome =
            subject.await(subject.endpointClient().send(address, request(subject, tag)));
        assertThat(outcome, instanceOf(EndpointOutcome.Answered.class));
        String body =
            new String(((EndpointOutcome.Answered) outcome).body(), StandardCharsets.UTF_8);
        assertThat(body.contains(tag), is(true));
      }
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("subjects")
  void unreachableEndpointReportsNotRun(Supplier<PlatformSubject> supplier) {
    try (PlatformSubject subject = supplier.get()) {
      EndpointOutcome outcome =
          subject.await(
              subject.endpointClient().send(subject.unreachableAddress(), request(subject, "r1")));
      assertThat(outcome, instanceOf(EndpointOutcome.NotRun.class));
    }
  }
}
