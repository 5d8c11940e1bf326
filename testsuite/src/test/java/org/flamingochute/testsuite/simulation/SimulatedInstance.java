package org.flamingochute.testsuite.simulation;

import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.ResourceAmount;

/** An instance of the platform: an entry, a runner or a worker. Its address is its name. */
public final class SimulatedInstance {

  private static final ResourceAmount CAPACITY =
      ResourceAmount.newBuilder()
          .setProcessorMillicores(32_000)
          .setMemoryMebibytes(65_536)
          .setAccelerators(2)
          .build();

  private final String name;
  private final InstanceKind kind;
  private final String pool;
  private final String dataCentre;
  private final String rack;
  private InstanceState state = InstanceState.INSTANCE_LIVE;
  private String incarnation = "";

  /** Creates a live instance. */
  public SimulatedInstance(
      String name, InstanceKind kind, String pool, String dataCentre, String rack) {
    this.name = name;
    this.kind = kind;
    this.pool = pool;
    this.dataCentre = dataCentre;
    this.rack = rack;
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /** Returns what runs on it. */
  public InstanceKind kind() {
    return kind;
  }

  /** Returns the pool that it was started in. */
  public String firstPool() {
    return pool;
  }

  /** Returns its data centre. */
  public String dataCentre() {
    return dataCentre;
  }

  /** Returns its rack. */
  public String rack() {
    return rack;
  }

  /** Returns its present state. */
  public InstanceState state() {
    return state;
  }

  /** Changes its state. */
  public void setState(InstanceState newState) {
    state = newState;
  }

  /** Names the process start that runs on it. */
  public void setIncarnation(String newIncarnation) {
    incarnation = newIncarnation;
  }

  /** Tells whether it can be reached. */
  public boolean isReachable() {
    return state != InstanceState.INSTANCE_GONE;
  }

  /** Returns its line in the platform's list. */
  public ListedInstance listed() {
    return ListedInstance.newBuilder()
        .setInstance(name)
        .setIncarnation(incarnation)
        .setKind(kind)
        .setState(state)
        .setDataCentre(dataCentre)
        .setRack(rack)
        .setFirstPool(pool)
        .setAddress(name)
        .setCapacity(CAPACITY)
        .build();
  }
}
