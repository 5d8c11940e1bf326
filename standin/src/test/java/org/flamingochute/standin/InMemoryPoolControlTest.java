package org.flamingochute.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.PoolAction;
import org.flamingochute.schema.PoolOperation;
import org.flamingochute.schema.PoolOperationStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the effects of pool operations and that each is performed once. */
class InMemoryPoolControlTest {

  private static final long REBOOT_MILLISECONDS = 1000;

  private final VirtualTimers timers = new VirtualTimers();
  private final InMemoryInstanceList list = new InMemoryInstanceList(timers, 0);
  private final List<Boolean> powerChanges = new ArrayList<>();
  private final InMemoryPoolControl control =
      new InMemoryPoolControl(
          timers, list, (instance, on) -> powerChanges.add(on), REBOOT_MILLISECONDS);

  @BeforeEach
  void registerInstance() {
    list.register(
        ListedInstance.newBuilder()
            .setInstance("w-1")
            .setState(InstanceState.INSTANCE_LIVE)
            .build());
  }

  private PoolOperationStatus perform(String operation, String instance, PoolAction action) {
    PoolOperation request =
        PoolOperation.newBuilder()
            .setOperation(operation)
            .setInstance(instance)
            .setAction(action)
            .build();
    return control.perform(request).join().get();
  }

  @ParameterizedTest(name = "{0} is done {1}, fails {2}, lists {3}")
  @CsvSource({
    "POOL_DRAIN, true, false, INSTANCE_LEAVING, ''",
    "POOL_RETURN, true, false, INSTANCE_LIVE, ''",
    "POOL_RETIRE, true, false, INSTANCE_GONE, false",
    "POOL_REBOOT, false, false, INSTANCE_LIVE, false",
    "POOL_ACTION_UNSPECIFIED, true, true, INSTANCE_LIVE, ''",
  })
  void actionChangesStateAndPower(
      PoolAction action, boolean done, boolean failed, InstanceState state, String powered) {
    PoolOperationStatus status = perform("o1", "w-1", action);
    assertThat(status.getDone(), equalTo(done));
    assertThat(status.getFailed(), equalTo(failed));
    assertThat(list.find("w-1").get().getState(), equalTo(state));
    List<Boolean> expected = powered.isEmpty() ? List.of() : List.of(Boolean.valueOf(powered));
    assertThat(powerChanges, equalTo(expected));
  }

  @Test
  void rebootEndsAfterRebootTimeAndRunsOnce() {
    perform("o1", "w-1", PoolAction.POOL_REBOOT);
    timers.advance(REBOOT_MILLISECONDS - 1);
    assertThat(perform("o1", "w-1", PoolAction.POOL_REBOOT).getDone(), equalTo(false));
    timers.advance(1);
    assertThat(perform("o1", "w-1", PoolAction.POOL_REBOOT).getDone(), equalTo(true));
    assertThat(powerChanges, contains(false, true));
  }

  @ParameterizedTest(name = "operation {0} for instance {1} fails: {2}")
  @CsvSource({
    "o2, w-9, unknown instance w-9",
    "o1, w-2, the operation id was used for instance w-1"
  })
  void invalidOperationFails(String operation, String instance, String detail) {
    perform("o1", "w-1", PoolAction.POOL_DRAIN);
    PoolOperationStatus status = perform(operation, instance, PoolAction.POOL_DRAIN);
    assertThat(status.getFailed(), equalTo(true));
    assertThat(status.getDetail(), containsString(detail));
  }
}
