package org.flamingochute.experiment.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Writes a bar chart for each measure: medians by subject and policy, with error bars of half the
 * distance between the extremes. A policy without a value for a subject has a bar of height 0.
 */
final class Plots {

  private static final int WIDTH_PIXELS = 1000;
  private static final int HEIGHT_PIXELS = 500;

  private Plots() {}

  static void write(Map<MeasurementKey, Spread> spreads, Path folder) throws IOException {
    Map<String, Map<MeasurementKey, Spread>> charts = new LinkedHashMap<>();
    spreads.forEach(
        (key, spread) ->
            charts
                .computeIfAbsent(
                    key.experiment() + " " + key.measure(), name -> new LinkedHashMap<>())
                .put(key, spread));
    for (Map.Entry<String, Map<MeasurementKey, Spread>> entry : charts.entrySet()) {
      CategoryChart chart = createChart(entry.getKey(), entry.getValue());
      String fileName = entry.getKey().replaceAll("[^a-z0-9]+", "-");
      BitmapEncoder.saveBitmap(
          chart, folder.resolve(fileName).toString(), BitmapEncoder.BitmapFormat.PNG);
    }
  }

  private static CategoryChart createChart(String title, Map<MeasurementKey, Spread> spreads) {
    String unit = spreads.keySet().iterator().next().unit();
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .yAxisTitle(unit)
            .build();
    Set<String> subjects = new LinkedHashSet<>();
    Set<String> policies = new LinkedHashSet<>();
    for (MeasurementKey key : spreads.keySet()) {
      subjects.add(key.subject());
      policies.add(key.policy());
    }
    for (String policy : policies) {
      addSeries(chart, policy, List.copyOf(subjects), spreads);
    }
    return chart;
  }

  private static void addSeries(
      CategoryChart chart,
      String policy,
      List<String> subjects,
      Map<MeasurementKey, Spread> spreads) {
    List<Double> medians = new ArrayList<>();
    List<Double> errorBars = new ArrayList<>();
    for (String subject : subjects) {
      Spread spread = findSpread(spreads, subject, policy);
      medians.add(spread == null ? 0 : spread.median());
      errorBars.add(spread == null ? 0 : (spread.maximum() - spread.minimum()) / 2);
    }
    chart.addSeries(policy, subjects, medians, errorBars);
  }

  private static Spread findSpread(
      Map<MeasurementKey, Spread> spreads, String subject, String policy) {
    for (Map.Entry<MeasurementKey, Spread> entry : spreads.entrySet()) {
      MeasurementKey key = entry.getKey();
      if (key.subject().equals(subject) && key.policy().equals(policy)) {
        return entry.getValue();
      }
    }
    return null;
  }
}
