package org.flamingochute.scheduling.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Tail latencies of the serving tasks on simulated workers.
 *
 * <p>A tail, relative to its target, is the usual one, which may differ by worker, plus the highest
 * sum of the rises that fillers caused within the last half second, each in proportion to its pace.
 * Reports of it are noisy. Tails are 0 until the usual one is set.
 */
public final class SimulatedTails {
  private static final int WINDOW_STEPS = 50;

  private final Random random = new Random(1);
  private final Map<String, Double> rises = new HashMap<>();
  private final Map<String, Double> extraTails = new HashMap<>();
  private final Map<String, double[]> recentRises = new HashMap<>();
  private double usualTail;
  private double noise;
  private long steps;
  private long millisecondsAboveTarget;

  SimulatedTails() {}

  /** Sets the tail without fillers, relative to its target. */
  public void setUsualTail(double ratio) {
    usualTail = ratio;
  }

  /** Sets the standard deviation of reports, relative to the tail. */
  public void setNoise(double deviation) {
    noise = deviation;
  }

  /** Sets by how much the tails on one worker are always longer than on others. */
  public void setExtraTail(String worker, double ratio) {
    extraTails.put(worker, ratio);
  }

  /** Sets the rise of a tail that one filler of the image causes at full pace. */
  public void setRise(String fillerImage, double ratio) {
    rises.put(fillerImage, ratio);
  }

  /** Returns for how long serving tasks exceeded their targets, as a sum over the tasks. */
  public long millisecondsAboveTarget() {
    return millisecondsAboveTarget;
  }

  void advance(Iterable<SimulatedWorker> workers, long milliseconds) {
    if (usualTail == 0) {
      return;
    }
    steps++;
    for (SimulatedWorker worker : workers) {
      double[] recent = recentRises.computeIfAbsent(worker.name, name -> new double[WINDOW_STEPS]);
      recent[(int) (steps % WINDOW_STEPS)] = currentRise(worker);
      for (SimulatedWorker.Run run : worker.runs()) {
        if (run.step.getTailTargetMilliseconds() > 0 && tailRatio(worker) > 1) {
          millisecondsAboveTarget += milliseconds;
        }
      }
    }
  }

  private double currentRise(SimulatedWorker worker) {
    double rise = 0;
    for (SimulatedWorker.Run run : worker.runs()) {
      if (run.step.getFiller()) {
        rise += rises.getOrDefault(run.step.getImage(), 0.0) * run.pacePercent / 100;
      }
    }
    return rise;
  }

  private double tailRatio(SimulatedWorker worker) {
    double highest = 0;
    for (double rise : recentRises.getOrDefault(worker.name, new double[0])) {
      highest = Math.max(highest, rise);
    }
    return usualTail + extraTails.getOrDefault(worker.name, 0.0) + highest;
  }

  /** Returns the tail latency that a worker reports for a run, in milliseconds. */
  long report(SimulatedWorker worker, SimulatedWorker.Run run) {
    long target = run.step.getTailTargetMilliseconds();
    if (usualTail == 0 || target == 0) {
      return 0;
    }
    return Math.round(target * tailRatio(worker) * Math.exp(noise * random.nextGaussian()));
  }
}
