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
import org.flamingochute.decision.maintenance.PoolGuard;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.WavePlanner;
import org.flamingochute.decision.maintenance.WaveState;
import org.flamingochute.schema.InstanceStopRequested;
import org.flamingochute.schema.StopPurpose;
import org.flamingochute.schema.WaveImage;
import org.flamingochute.schema.WaveSection;

/** Asks for the stops that the waves of the description need next. */
final class WaveRunner {

  private static final String RETIRE = "retire";
  private static final String SEPARATOR = ",";

  private final AgreedView agreed;
  private final PoolSnapshot pools;
  private final StopRequester requester;
  private final WavePlanner planner;

  WaveRunner(AgreedView agreed, PoolSnapshot pools, StopRequester requester, WavePlanner planner) {
    this.agreed = agreed;
    this.pools = pools;
    this.requester = requester;
    this.planner = planner;
  }

  /** Asks for the next stops of every wave that is neither paused nor stopped. */
  void run() {
    agreed.description().getWavesMap().forEach(this::run);
  }

  private void run(String name, WaveSection section) {
    Optional<WaveImage> progress = agreed.wave(new WaveId(name));
    Set<InstanceId> finished = new HashSet<>();
    progress.ifPresent(
        image ->
            image
                .getFinishedInstancesList()
                .forEach(instance -> finished.add(new InstanceId(instance))));
    boolean stopped = progress.map(WaveImage::getStopped).orElse(false);
    List<PoolGuard> guards = new ArrayList<>();
    List<PoolInstance> instances = new ArrayList<>();
    for (String pool : section.getPools().split(SEPARATOR)) {
      if (pool.isBlank()) {
        continue;
      }
      PoolId id = new PoolId(pool.strip());
      guards.add(pools.guard(id));
      instances.addAll(pools.instances(id));
    }
    WaveState state = new WaveState(guards, instances, finished, section.getPaused() || stopped);
    for (InstanceId stop : planner.nextStops(state)) {
      request(name, section, stop);
    }
  }

  private void request(String wave, WaveSection section, InstanceId instance) {
    StopPurpose purpose =
        section.getAction().equals(RETIRE)
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
