package org.flamingochute.decision.agreement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.WaveId;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.WaveImage;
import org.flamingochute.schema.WaveSection;

/**
 * The progress of maintenance waves.
 *
 * <p>Two failed steps in a row stop a wave. An operator starts it again with a patch of its
 * section, for example by setting {@code paused} and removing it; the instances that are finished
 * stay so.
 */
final class WaveTable {

  /** Failed steps in a row that stop a wave. */
  static final int FAILURES_TO_STOP = 2;

  private final Map<WaveId, WaveImage> waves = new TreeMap<>();

  /** Returns why a wave may not stop an instance now. */
  synchronized Optional<ErrorReport> refusal(
      FleetDescription description, WaveId wave, InstanceId instance) {
    WaveSection section = description.getWavesMap().get(wave.value());
    if (section == null) {
      return halted(wave, "it is not part of the fleet description");
    }
    if (section.getPaused()) {
      return halted(wave, "it is paused");
    }
    WaveImage progress = progress(wave);
    if (progress.getStopped()) {
      return halted(wave, progress.getStopReason());
    }
    if (progress.getFinishedInstancesList().contains(instance.value())) {
      return halted(wave, "instance " + instance + " is finished");
    }
    return Optional.empty();
  }

  private static Optional<ErrorReport> halted(WaveId wave, String reason) {
    return Optional.of(ErrorReport.of(ErrorCode.WAVE_HALTED, wave, reason));
  }

  /** Records that a step of the wave came to its end. */
  synchronized void finished(WaveId wave, InstanceId instance) {
    waves.put(
        wave,
        progress(wave).toBuilder()
            .addFinishedInstances(instance.value())
            .setConsecutiveFailures(0)
            .build());
  }

  /** Records that a step of the wave failed. */
  synchronized void failed(WaveId wave, InstanceId instance, String detail) {
    WaveImage.Builder progress = progress(wave).toBuilder();
    progress.setConsecutiveFailures(progress.getConsecutiveFailures() + 1);
    if (progress.getConsecutiveFailures() >= FAILURES_TO_STOP) {
      progress.setStopped(true);
      progress.setStopReason("instance " + instance + " failed: " + detail);
    }
    waves.put(wave, progress.build());
  }

  /** Forgets waves that were removed and restarts those whose sections changed. */
  synchronized void descriptionChanged(FleetDescription before, FleetDescription after) {
    waves.keySet().removeIf(wave -> !after.containsWaves(wave.value()));
    waves.replaceAll(
        (wave, progress) -> {
          WaveSection old = before.getWavesMap().get(wave.value());
          boolean isChanged = !after.getWavesOrThrow(wave.value()).equals(old);
          return isChanged ? restarted(progress) : progress;
        });
  }

  private static WaveImage restarted(WaveImage progress) {
    return progress.toBuilder().clearConsecutiveFailures().clearStopped().clearStopReason().build();
  }

  private WaveImage progress(WaveId wave) {
    WaveImage progress = waves.get(wave);
    return progress != null ? progress : WaveImage.newBuilder().setWave(wave.value()).build();
  }

  synchronized Optional<WaveImage> wave(WaveId wave) {
    return Optional.ofNullable(waves.get(wave));
  }

  synchronized List<WaveImage> image() {
    return List.copyOf(waves.values());
  }

  /** Replaces everything by the content of an image. */
  synchronized void load(List<WaveImage> image) {
    waves.clear();
    for (WaveImage wave : image) {
      if (Identifiers.isValid(wave.getWave())) {
        waves.put(new WaveId(wave.getWave()), wave);
      }
    }
  }
}
