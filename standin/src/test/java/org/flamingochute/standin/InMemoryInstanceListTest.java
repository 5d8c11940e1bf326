package org.flamingochute.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.stream.Collectors;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that changes become visible after the lag and that the visible state never reverts. */
class InMemoryInstanceListTest {

  private final VirtualTimers timers = new VirtualTimers();

  private static String statesOf(InMemoryInstanceList list) {
    return list.list().join().get().getInstancesList().stream()
        .map(instance -> instance.getState().name().substring("INSTANCE_".length()))
        .collect(Collectors.joining(" "));
  }

  private static ListedInstance liveInstance(String name) {
    return ListedInstance.newBuilder()
        .setInstance(name)
        .setState(InstanceState.INSTANCE_LIVE)
        .build();
  }

  @ParameterizedTest(name = "lag {0}: {1} ms after the change to {2} the list contains {3}")
  @CsvSource({
    "0, 0, INSTANCE_LEAVING, LEAVING",
    "300, 0, INSTANCE_LEAVING, LIVE",
    "300, 299, INSTANCE_LEAVING, LIVE",
    "300, 300, INSTANCE_LEAVING, LEAVING",
    "300, 300, INSTANCE_GONE, GONE",
    "300, 60300, INSTANCE_GONE, GONE",
    "300, 60301, INSTANCE_GONE, ''",
  })
  void changeIsVisibleAfterLag(long lag, long after, InstanceState state, String expectedState) {
    InMemoryInstanceList list = new InMemoryInstanceList(timers, lag);
    list.register(liveInstance("runner-1"));
    timers.advance(10_000);
    statesOf(list);
    list.setState("runner-1", state);
    timers.advance(Math.min(after, lag));
    statesOf(list);
    timers.advance(Math.max(0, after - lag));
    assertThat(statesOf(list), equalTo(expectedState));
  }

  @ParameterizedTest(name = "raising the lag to {0} ms does not revert the visible state")
  @CsvSource({"1000", "100000"})
  void visibleStateNeverReverts(long raised) {
    InMemoryInstanceList list = new InMemoryInstanceList(timers, 0);
    list.register(liveInstance("runner-1"));
    list.setState("runner-1", InstanceState.INSTANCE_LEAVING);
    statesOf(list);
    list.setLagMilliseconds(raised);
    assertThat(statesOf(list), equalTo("LEAVING"));
  }

  @ParameterizedTest(name = "state of {0} can be set: {1}")
  @CsvSource({"runner-1, true", "runner-2, false", "'', false"})
  void stateOfUnknownInstanceCannotBeSet(String name, boolean known) {
    InMemoryInstanceList list = new InMemoryInstanceList(timers, 0);
    list.register(liveInstance("runner-1"));
    assertThat(list.setState(name, InstanceState.INSTANCE_GONE), equalTo(known));
  }
}
