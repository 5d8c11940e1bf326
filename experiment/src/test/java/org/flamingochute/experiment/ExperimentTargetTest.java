package org.flamingochute.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that policies meet the users' targets in the experiments, for one seed. All of them are
 * policies of the product, except {@code fair-slots}, which meets the target for unevenly
 * distributed callers.
 */
class ExperimentTargetTest {

  private static final long SEED = 1;
  private static final Map<String, List<Measurement>> MEASUREMENTS_BY_EXPERIMENT = new HashMap<>();

  private static synchronized List<Measurement> runOnce(String name) {
    return MEASUREMENTS_BY_EXPERIMENT.computeIfAbsent(
        name,
        key ->
            ExperimentCatalogue.all().stream()
                .filter(experiment -> experiment.name().equals(key))
                .findFirst()
                .orElseThrow()
                .run(SEED));
  }

  @ParameterizedTest
  @CsvSource({
    "share,rueda even,fair-fleet,least part of share,0.95,99",
    "share,repuestos even,fair-fleet,least part of share,0.95,99",
    "share,rueda even,fair-slots,least part of share,0.95,99",
    "share,repuestos even,fair-slots,least part of share,0.95,99",
    "share,rueda skewed,fair-slots,least part of share,0.95,99",
    "share,repuestos skewed,fair-slots,least part of share,0.95,99",
    "overload,rueda,fair-fleet,answered of capacity,0.9,2",
    "overload,repuestos,fair-fleet,answered of capacity,0.9,2",
    "shrink,rueda,planner,shrink of bound,0,1.25",
    "shrink,repuestos,planner,shrink of bound,0,1.25",
    "shrink,rueda,planner,guard violations,0,0",
    "shrink,repuestos,planner,guard violations,0,0",
    "shrink,rueda,planner,surplus left,0,0",
    "shrink,repuestos,planner,surplus left,0,0",
    "waves,rueda,by-domain,guard violations,0,0",
    "waves,repuestos,by-domain,guard violations,0,0",
    "moves,rueda turns,steady,moves,0,0",
    "moves,repuestos turns,steady,moves,0,0",
    "placement,rueda,fair,longest urgent wait,0,4",
    "placement,repuestos,fair,longest urgent wait,0,4",
  })
  void meetsTarget(
      String experiment,
      String subject,
      String policy,
      String measure,
      double minimum,
      double maximum) {
    List<Double> values =
        runOnce(experiment).stream()
            .filter(
                measurement ->
                    measurement.subject().equals(subject) && measurement.policy().equals(policy))
            .filter(measurement -> measurement.measure().equals(measure))
            .map(Measurement::value)
            .toList();
    assertThat(values.size(), is(1));
    assertThat(
        values.getFirst(), both(greaterThanOrEqualTo(minimum)).and(lessThanOrEqualTo(maximum)));
  }
}
