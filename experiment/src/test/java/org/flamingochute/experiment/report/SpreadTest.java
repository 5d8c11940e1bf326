package org.flamingochute.experiment.report;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SpreadTest {

  @ParameterizedTest
  @CsvSource({"3,3,3,3", "3 1 2,1,2,3", "4 1 3 2,1,2.5,4"})
  void returnsMedianAndExtremes(String text, double minimum, double median, double maximum) {
    List<Double> values = Arrays.stream(text.split(" ")).map(Double::valueOf).toList();
    Spread expected = new Spread(minimum, median, maximum, values.size());
    assertThat(Spread.of(values), equalTo(expected));
  }
}
