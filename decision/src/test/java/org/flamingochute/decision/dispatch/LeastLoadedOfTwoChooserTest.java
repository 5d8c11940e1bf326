package org.flamingochute.decision.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.flamingochute.decision.identity.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeastLoadedOfTwoChooserTest {

  private final OutlierDetector outliers = new OutlierDetector(OutlierSettings.defaults());

  private LeastLoadedOfTwoChooser chooser(int entries) {
    return new LeastLoadedOfTwoChooser(
        RandomSource.XO_RO_SHI_RO_128_PP.create(1), outliers, () -> entries);
  }

  private static List<EndpointLoad> loads(String own, String remote) {
    int[] owns = Arrays.stream(own.split(" ")).mapToInt(Integer::parseInt).toArray();
    int[] remotes = Arrays.stream(remote.split(" ")).mapToInt(Integer::parseInt).toArray();
    List<EndpointLoad> loads = new ArrayList<>();
    for (int i = 0; i < owns.length; i++) {
      loads.add(new EndpointLoad(new InstanceId("runner-" + i), owns[i], remotes[i], 8, 64));
    }
    return loads;
  }

  @ParameterizedTest
  @CsvSource({
    "1 3,0 0,1,runner-0",
    "5 3,0 0,1,runner-1",
    "8 3,0 0,1,runner-1",
    "8 8,0 0,1,",
    "6 7,2 0,2,runner-1",
    "2 1,0 4,2,runner-1",
    "1 2,8 6,9,runner-0",
    "2 2,6 3,9,runner-1",
    "2 2,6 6,9,",
    "1 8,7 0,2,runner-0",
  })
  void choosesLessLoadedEndpointWithCapacity(
      String own, String remote, int entries, String expected) {
    Optional<InstanceId> chosen = chooser(entries).choose(loads(own, remote), 0);
    assertThat(chosen.map(InstanceId::value).orElse(null), equalTo(expected));
  }

  @Test
  void neverChoosesEjectedEndpoint() {
    for (int i = 0; i < 5; i++) {
      outliers.recordFailure(new InstanceId("runner-0"), 2, 0);
    }
    for (int i = 0; i < 50; i++) {
      Optional<InstanceId> chosen = chooser(1).choose(loads("0 7", "0 0"), 0);
      assertThat(chosen, equalTo(Optional.of(new InstanceId("runner-1"))));
    }
  }

  @Test
  void emptyListHasNoEndpoint() {
    assertThat(chooser(1).choose(List.of(), 0), equalTo(Optional.empty()));
  }
}
