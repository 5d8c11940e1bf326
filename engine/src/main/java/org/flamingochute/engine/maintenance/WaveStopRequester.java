package org.flamingochute.engine.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.WaveId;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.PoolStopLimits;
import org.flamingochute.decision.maintenance.WavePlanner;
import org.flamingochute.decision.maintenance.WaveState;
import org.flamingochute.schema.InstanceStopRequested;
import org.flamingochute.schema.StopPurpose;
import org.flamingochute.schema.WaveImage;
import org.flamingochute.schema.WaveSection;

/** Requests the next stops of the waves in the fleet description. */
final class WaveStopRequester {

  private static final String RETIRE_ACTION = "retire";
  private static final String POOL_SEPARATOR = ",";

  private final AgreedView agreed;
  private final PoolReader poolReader;
  private final StopRequester requester;
  private final WavePlanner planner;

  WaveStopRequester(
      AgreedView agreed, PoolReader poolReader, StopRequester requester, WavePlanner planner) {
    this.agreed = agreed;
    this.poolReader = poolReader;
    this.requester = requester;
    this.planner = planner;
  }

  /** Requests the next stops of every wave that is neither paused nor stopped. */
  void requestNextStops() {
    agreed.description().getWavesMap().forEach(this::requestNextStops);
  }

  private void requestNextStops(String name, WaveSection section) {
    Optional<WaveImage> progress = agreed.wave(new WaveId(name));
    Set<InstanceId> finished = new HashSet<>();
    progress.ifPresent(
        image ->
            image
                .getFinishedInstancesList()
                .forEach(instance -> finished.add(new InstanceId(instance))));
    boolean stopped = progress.map(WaveImage::getStopped).orElse(false);
    List<PoolStopLimits> stopLimits = new ArrayList<>();
    List<PoolInstance> instances = new ArrayList<>();
    for (String pool : section.getPools().split(POOL_SEPARATOR)) {
      if (pool.isBlank()) {
        continue;
      }
      PoolId id = new PoolId(pool.strip());
      stopLimits.add(poolReader.stopLimits(id));
      instances.addAll(poolReader.instances(id));
    }
    WaveState state =
        new WaveState(stopLimits, instances, finished, section.getPaused() || stopped);
    for (InstanceId instance : planner.nextStops(state)) {
      requestStop(name, section, instance);
    }
  }

  private void requestStop(String wave, WaveSection section, InstanceId instance) {
    StopPurpose purpose =
        section.getAction().equals(RETIRE_ACTION)
            ? StopPurpose.STOP_FOR_RETIREMENT
            : StopPurpose.STOP_FOR_REBOOT;
    agreed
        .instance(instance)
        .ifPresent(
            image ->
                requester.request(
                    InstanceStopRequested.newBuilder()
                        .setInstance(instance.value())
                        .setPool(image.getPool())
                        .setPurpose(purpose)
                        .setWave(wave)));
  }
}
