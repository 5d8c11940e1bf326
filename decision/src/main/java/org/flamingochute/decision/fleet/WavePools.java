package org.flamingochute.decision.fleet;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.schema.WaveSection;

/** Parses the key {@code pools} of a wave. */
public final class WavePools {

  private WavePools() {}

  /** Returns the pools of a wave in the order of the text, without invalid names. */
  public static List<PoolId> of(WaveSection wave) {
    List<PoolId> pools = new ArrayList<>();
    for (String name : wave.getPools().split(",")) {
      String trimmed = name.strip();
      if (Identifiers.isValid(trimmed)) {
        pools.add(new PoolId(trimmed));
      }
    }
    return List.copyOf(pools);
  }
}
