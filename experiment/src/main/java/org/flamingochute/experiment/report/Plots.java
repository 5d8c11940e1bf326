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

/** Draws one bar chart for each measure: medians by subject and policy, with the spread as bars. */
final class Plots {

  private static final int WIDTH_PIXELS = 1000;
  private static final int HEIGHT_PIXELS = 500;

  private Plots() {}

  static void write(Map<FigureKey, Spread> spreads, Path folder) throws IOException {
    Map<String, Map<FigureKey, Spread>> charts = new LinkedHashMap<>();
    spreads.forEach(
        (key, spread) ->
            charts
                .computeIfAbsent(
                    key.experiment() + " " + key.measure(), name -> new LinkedHashMap<>())
                .put(key, spread));
    for (Map.Entry<String, Map<FigureKey, Spread>> entry : charts.entrySet()) {
      CategoryChart chart = chart(entry.getKey(), entry.getValue());
      String file = entry.getKey().replaceAll("[^a-z0-9]+", "-");
      BitmapEncoder.saveBitmap(
          chart, folder.resolve(file).toString(), BitmapEncoder.BitmapFormat.PNG);
    }
  }

  private static CategoryChart chart(String title, Map<FigureKey, Spread> spreads) {
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
    for (FigureKey key : spreads.keySet()) {
      subjects.add(key.subject());
      policies.add(key.policy());
    }
    for (String policy : policies) {
      addSeries(chart, policy, List.copyOf(subjects), spreads);
    }
    return chart;
  }

  private static void addSeries(
      CategoryChart chart, String policy, List<String> subjects, Map<FigureKey, Spread> spreads) {
    List<Double> medians = new ArrayList<>();
    List<Double> errors = new ArrayList<>();
    for (String subject : subjects) {
      Spread spread = find(spreads, subject, policy);
      medians.add(spread == null ? 0 : spread.median());
      errors.add(spread == null ? 0 : (spread.greatest() - spread.least()) / 2);
    }
    chart.addSeries(policy, subjects, medians, errors);
  }

  private static Spread find(Map<FigureKey, Spread> spreads, String subject, String policy) {
    for (Map.Entry<FigureKey, Spread> entry : spreads.entrySet()) {
      FigureKey key = entry.getKey();
      if (key.subject().equals(subject) && key.policy().equals(policy)) {
        return entry.getValue();
      }
    }
    return null;
  }
}
