package org.flamingochute.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.flamingochute.experiment.report.Report;

/** Command-line program that runs the experiments. */
public final class MeasureMain {

  private static final int USAGE_ERROR_STATUS = 2;
  private static final String DEFAULT_SEED_COUNT = "10";
  private static final String DEFAULT_OUTPUT = "experiment/target/measure";

  private MeasureMain() {}

  /** Runs the experiments selected by the arguments. */
  public static void main(String[] arguments) throws IOException {
    System.setProperty("java.awt.headless", "true");
    CommandLine commandLine;
    try {
      commandLine = new DefaultParser().parse(options(), arguments);
    } catch (ParseException exception) {
      System.err.println("error: " + exception.getMessage());
      System.exit(USAGE_ERROR_STATUS);
      return;
    }
    if (commandLine.hasOption("help")) {
      printHelp();
      return;
    }
    List<Experiment> selectedExperiments =
        selectExperiments(commandLine.getOptionValue("experiment"));
    int seedCount = parseSeedCount(commandLine.getOptionValue("seeds", DEFAULT_SEED_COUNT));
    if (selectedExperiments.isEmpty() || seedCount < 1) {
      System.err.println("error: unknown experiment or number of seeds below 1; see --help");
      System.exit(USAGE_ERROR_STATUS);
      return;
    }
    Report report = new Report();
    for (Experiment experiment : selectedExperiments) {
      for (long seed = 1; seed <= seedCount; seed++) {
        report.add(experiment, seed, experiment.run(seed));
      }
    }
    report.print(System.out);
    report.write(Path.of(commandLine.getOptionValue("output", DEFAULT_OUTPUT)));
  }

  private static List<Experiment> selectExperiments(String name) {
    return ExperimentCatalogue.all().stream()
        .filter(experiment -> name == null || experiment.name().equals(name))
        .toList();
  }

  private static int parseSeedCount(String text) {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException exception) {
      return 0;
    }
  }

  private static Options options() {
    return new Options()
        .addOption(option("experiment", "NAME", "Run only this experiment."))
        .addOption(option("seeds", "N", "Run with seeds 1 to N (default: 10)."))
        .addOption(option("output", "FOLDER", "Write CSV files and plots into this folder."))
        .addOption(Option.builder().longOpt("help").desc("Show this help.").get());
  }

  private static Option option(String name, String argument, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
  }

  private static void printHelp() throws IOException {
    HelpFormatter.builder().get().printHelp("measure", "", options(), "", true);
    System.out.println("Experiments:");
    for (Experiment experiment : ExperimentCatalogue.all()) {
      System.out.println("  " + experiment.name() + ": " + experiment.description());
    }
  }
}
