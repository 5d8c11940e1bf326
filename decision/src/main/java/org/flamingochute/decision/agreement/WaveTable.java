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
 * <p>Two consecutive failed stops of instances halt a wave. An operator restarts it with a patch of
 * its section, for example by setting {@code paused} and removing it again; the finished instances
 * remain finished.
 */
final class WaveTable {

  /** Number of consecutive failed stops of instances that halt a wave. */
  static final int CONSECUTIVE_FAILURES_TO_STOP = 2;

  private final Map<WaveId, WaveImage> waves = new TreeMap<>();

  /** Returns the reason why a wave may not stop an instance now, if any. */
  synchronized Optional<ErrorReport> refusal(
      FleetDescription description, WaveId wave, InstanceId instance) {
    WaveSection section = description.getWavesMap().get(wave.value());
    if (section == null) {
      return waveHalted(wave, "it is not part of the fleet description");
    }
    if (section.getPaused()) {
      return waveHalted(wave, "it is paused");
    }
    WaveImage progress = progress(wave);
    if (progress.getStopped()) {
      return waveHalted(wave, progress.getStopReason());
    }
    if (progress.getFinishedInstancesList().contains(instance.value())) {
      return waveHalted(wave, "instance " + instance + " is finished");
    }
    return Optional.empty();
  }

  private static Optional<ErrorReport> waveHalted(WaveId wave, String reason) {
    return Optional.of(ErrorReport.of(ErrorCode.WAVE_HALTED, wave, reason));
  }

  /** Records that a stop of an instance for the wave was finished. */
  synchronized void recordFinished(WaveId wave, InstanceId instance) {
    waves.put(
        wave,
        progress(wave).toBuilder()
            .addFinishedInstances(instance.value())
            .setConsecutiveFailures(0)
            .build());
  }

  /** Records that a stop of an instance for the wave failed. */
  synchronized void recordFailed(WaveId wave, InstanceId instance, String detail) {
    WaveImage.Builder progress = progress(wave).toBuilder();
    progress.setConsecutiveFailures(progress.getConsecutiveFailures() + 1);
    if (progress.getConsecutiveFailures() >= CONSECUTIVE_FAILURES_TO_STOP) {
      progress.setStopped(true);
      progress.setStopReason("instance " + instance + " failed: " + detail);
    }
    waves.put(wave, progress.build());
  }

  /** Removes waves that are no longer described and restarts those whose sections changed. */
  synchronized void descriptionChanged(FleetDescription before, FleetDescription after) {
    waves.keySet().removeIf(wave -> !after.containsWaves(wave.value()));
    waves.replaceAll(
        (wave, progress) -> {
          WaveSection sectionBefore = before.getWavesMap().get(wave.value());
          boolean isChanged = !after.getWavesOrThrow(wave.value()).equals(sectionBefore);
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

  /** Replaces the content by that of an image. */
  synchronized void load(List<WaveImage> image) {
    waves.clear();
    for (WaveImage wave : image) {
      if (Identifiers.isValid(wave.getWave())) {
        waves.put(new WaveId(wave.getWave()), wave);
      }
    }
  }
}
