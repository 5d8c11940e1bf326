package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An overloaded pool whose waiting tasks have different sizes. Guards against a task that is passed
 * over although a worker has room for it, because a larger one found none.
 */
class PoolRoomTest {
  private final PoolRoom room =
      new PoolRoom(List.of(worker("w0", 8_000, 4_096), worker("w1", 4_000, 8_192)));

  private static Worker worker(String id, long millicores, long mebibytes) {
    return new Worker(
        new WorkerReport(
            new WorkerKey(new InstanceId(id), 1),
            new PoolId("p"),
            "10.0.0.1:80",
            new DataCentreId("a"),
            new ResourceVector(millicores, mebibytes, 0),
            List.of(),
            false),
        0);
  }

  @ParameterizedTest
  @CsvSource({
    "8000, 8192, true",
    "9000, 8192, true",
    "8000, 8191, false",
    "7999, 9000, false",
    "8000, 4096, false"
  })
  void onlyTasksOfAtLeastTheSameSizeAreKnownToExceed(
      long millicores, long mebibytes, boolean exceeds) {
    room.onNotPlaced(new ResourceVector(8_000, 8_192, 0));
    assertThat(room.isKnownToExceed(new ResourceVector(millicores, mebibytes, 0)), is(exceeds));
  }

  @Test
  void taskThatWasNotPlacedForAnotherReasonDoesNotCount() {
    ResourceVector reservation = new ResourceVector(8_000, 4_096, 0);
    room.onNotPlaced(reservation);
    assertThat(room.isKnownToExceed(reservation), is(false));
  }

  @Test
  void smallerTaskThatFindsNoRoomReplacesLargerOnes() {
    room.onNotPlaced(new ResourceVector(9_000, 9_000, 0));
    room.onNotPlaced(new ResourceVector(8_500, 100, 0));
    assertThat(room.isKnownToExceed(new ResourceVector(8_500, 100, 0)), is(true));
    assertThat(room.isKnownToExceed(new ResourceVector(9_000, 9_000, 0)), is(true));
  }
}
