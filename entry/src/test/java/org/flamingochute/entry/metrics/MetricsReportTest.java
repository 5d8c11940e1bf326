package org.flamingochute.entry.metrics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.not;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the JSON form of each kind of metric, including values that JSON numbers cannot hold. */
class MetricsReportTest {
  private final MetricRegistry registry = new MetricRegistry();

  @Test
  void eachKindOfMetricIsReported() {
    registry.counter("counter").inc(3);
    Gauge<Object> number = () -> 2.5;
    Gauge<Object> notFinite = () -> Double.NaN;
    Gauge<Object> text = () -> "a";
    registry.gauge("gauge", () -> number);
    registry.gauge("not_finite", () -> notFinite);
    registry.gauge("text", () -> text);
    registry.meter("meter").mark();
    registry.histogram("histogram").update(40);
    registry.timer("timer").update(7, TimeUnit.MILLISECONDS);
    Map<String, Value> report = MetricsReport.of(registry).getFieldsMap();
    assertThat(report.get("counter").getNumberValue(), equalTo(3.0));
    assertThat(report.get("gauge").getNumberValue(), equalTo(2.5));
    assertThat(report.get("not_finite").getStringValue(), equalTo("NaN"));
    assertThat(report.get("text").getStringValue(), equalTo("a"));
    Struct meter = report.get("meter").getStructValue();
    assertThat(meter.getFieldsMap(), hasKey("rate_1m"));
    assertThat(meter.getFieldsMap(), not(hasKey("p99")));
    Struct histogram = report.get("histogram").getStructValue();
    assertThat(histogram.getFieldsMap().get("p99").getNumberValue(), equalTo(40.0));
    assertThat(histogram.getFieldsMap().get("count").getNumberValue(), equalTo(1.0));
    Struct timer = report.get("timer").getStructValue();
    assertThat(timer.getFieldsMap().get("maximum").getNumberValue(), closeTo(7.0, 0.001));
  }
}
