package org.flamingochute.decision.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.flamingochute.decision.identity.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OutlierDetectorTest {

  private static final InstanceId ENDPOINT = new InstanceId("runner-1");

  private static OutlierDetector afterFailures(int failures, int endpoints, long now) {
    OutlierDetector detector = new OutlierDetector(OutlierSettings.defaults());
    for (int i = 0; i < failures; i++) {
      detector.recordFailure(ENDPOINT, endpoints, now);
    }
    return detector;
  }

  @ParameterizedTest
  @CsvSource({
    "4,6,0,8",
    "5,6,0,0",
    "5,6,4999,0",
    "5,6,5000,1",
    "5,6,7500,4",
    "5,6,10000,8",
    "5,1,0,8"
  })
  void limitsSlotsAfterFailures(int failures, int endpoints, long now, int expected) {
    OutlierDetector detector = afterFailures(failures, endpoints, 0);
    assertThat(detector.slotLimit(ENDPOINT, 8, endpoints, now), equalTo(expected));
  }

  @Test
  void successResetsConsecutiveFailures() {
    OutlierDetector detector = afterFailures(4, 6, 0);
    detector.recordSuccess(ENDPOINT, 1);
    detector.recordFailure(ENDPOINT, 6, 2);
    assertThat(detector.isEjected(ENDPOINT, 2), equalTo(false));
  }

  @Test
  void secondConsecutiveEjectionLastsTwiceAsLong() {
    OutlierDetector detector = afterFailures(5, 6, 0);
    for (int i = 0; i < 5; i++) {
      detector.recordFailure(ENDPOINT, 6, 5_000);
    }
    assertThat(detector.isEjected(ENDPOINT, 14_999), equalTo(true));
    assertThat(detector.isEjected(ENDPOINT, 15_000), equalTo(false));
  }

  @Test
  void neverEjectsMoreThanHalf() {
    OutlierDetector detector = new OutlierDetector(OutlierSettings.defaults());
    int ejected = 0;
    for (int endpoint = 0; endpoint < 6; endpoint++) {
      InstanceId id = new InstanceId("runner-" + endpoint);
      for (int i = 0; i < 20; i++) {
        detector.recordFailure(id, 6, 0);
      }
      ejected += detector.isEjected(id, 0) ? 1 : 0;
    }
    assertThat(ejected, equalTo(3));
  }
}
