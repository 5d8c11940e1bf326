package org.flamingochute.scheduling.fleet;

import java.util.List;
import org.flamingochute.decision.identity.MachineId;

/**
 * An operator's request to maintain machines in a wave.
 *
 * @param number wave number
 * @param machines machines to maintain
 * @param durationMilliseconds time within which the wave should end
 * @param maximumDown maximum number of the wave's machines that may be down at once
 */
public record WaveRequest(
    long number, List<MachineId> machines, long durationMilliseconds, int maximumDown) {

  /** Copies the list. */
  public WaveRequest {
    machines = List.copyOf(machines);
  }
}
