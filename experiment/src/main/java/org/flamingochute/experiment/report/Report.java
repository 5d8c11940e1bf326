package org.flamingochute.experiment.report;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;

/** Collects the measurements of all runs and reports them as a table, CSV files and plots. */
public final class Report {

  private static final String ROW_FORMAT = "%-11s %-24s %-20s %-26s %12s %12s %12s  %s%n";

  private final Map<MeasurementKey, List<Double>> valuesByKey = new LinkedHashMap<>();
  private final List<SeededMeasurement> measurements = new ArrayList<>();

  /** Adds the measurements of one run. */
  public void add(Experiment experiment, long seed, List<Measurement> runMeasurements) {
    for (Measurement measurement : runMeasurements) {
      measurements.add(new SeededMeasurement(experiment.name(), seed, measurement));
      valuesByKey
          .computeIfAbsent(
              MeasurementKey.of(experiment.name(), measurement), key -> new ArrayList<>())
          .add(measurement.value());
    }
  }

  /** Prints a table of the medians and extremes over all seeds. */
  public void print(PrintStream output) {
    output.printf(
        ROW_FORMAT,
        "experiment",
        "subject",
        "policy",
        "measure",
        "median",
        "least",
        "greatest",
        "unit");
    valuesByKey.forEach(
        (key, values) -> {
          Spread spread = Spread.of(values);
          output.printf(
              ROW_FORMAT,
              key.experiment(),
              key.subject(),
              key.policy(),
              key.measure(),
              formatValue(spread.median()),
              formatValue(spread.minimum()),
              formatValue(spread.maximum()),
              key.unit());
        });
  }

  /** Writes all values, their spreads and one plot for each measure into a folder. */
  public void write(Path folder) throws IOException {
    Files.createDirectories(folder);
    writeValues(folder.resolve("values.csv"));
    writeSpreads(folder.resolve("spreads.csv"));
    Map<MeasurementKey, Spread> spreads = new LinkedHashMap<>();
    valuesByKey.forEach((key, values) -> spreads.put(key, Spread.of(values)));
    Plots.write(spreads, folder);
  }

  private void writeValues(Path file) throws IOException {
    CSVFormat format =
        CSVFormat.DEFAULT
            .builder()
            .setHeader("experiment", "seed", "subject", "policy", "measure", "unit", "value")
            .get();
    try (CSVPrinter printer = new CSVPrinter(Files.newBufferedWriter(file), format)) {
      for (SeededMeasurement row : measurements) {
        Measurement measurement = row.measurement();
        printer.printRecord(
            row.experiment(),
            row.seed(),
            measurement.subject(),
            measurement.policy(),
            measurement.measure(),
            measurement.unit(),
            measurement.value());
      }
    }
  }

  private void writeSpreads(Path file) throws IOException {
    CSVFormat format =
        CSVFormat.DEFAULT
            .builder()
            .setHeader(
                "experiment",
                "subject",
                "policy",
                "measure",
                "unit",
                "median",
                "least",
                "greatest",
                "seeds")
            .get();
    try (CSVPrinter printer = new CSVPrinter(Files.newBufferedWriter(file), format)) {
      for (Map.Entry<MeasurementKey, List<Double>> entry : valuesByKey.entrySet()) {
        MeasurementKey key = entry.getKey();
        Spread spread = Spread.of(entry.getValue());
        printer.printRecord(
            key.experiment(),
            key.subject(),
            key.policy(),
            key.measure(),
            key.unit(),
            spread.median(),
            spread.minimum(),
            spread.maximum(),
            spread.count());
      }
    }
  }

  private static String formatValue(double value) {
    return String.format(Locale.ROOT, Math.abs(value) < 100 ? "%.3f" : "%.1f", value);
  }

  private record SeededMeasurement(String experiment, long seed, Measurement measurement) {}
}
