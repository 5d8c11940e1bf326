package org.flamingochute.testsuite.simulation;

import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.ResourceAmount;

/** A platform instance that hosts an entry, a runner or a worker. Its address is its name. */
public final class SimulatedInstance {

  private static final ResourceAmount CAPACITY =
      ResourceAmount.newBuilder()
          .setProcessorMillicores(32_000)
          .setMemoryMebibytes(65_536)
          .setAccelerators(2)
          .build();

  private final String name;
  private final InstanceKind kind;
  private final String firstPool;
  private final String dataCentre;
  private final String rack;
  private InstanceState state = InstanceState.INSTANCE_LIVE;
  private String incarnation = "";

  /** Creates a live instance. */
  public SimulatedInstance(
      String name, InstanceKind kind, String pool, String dataCentre, String rack) {
    this.name = name;
    this.kind = kind;
    this.firstPool = pool;
    this.dataCentre = dataCentre;
    this.rack = rack;
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /** Returns the kind of process that runs on the instance. */
  public InstanceKind kind() {
    return kind;
  }

  /** Returns the initial pool of the instance. */
  public String firstPool() {
    return firstPool;
  }

  /** Returns the data centre. */
  public String dataCentre() {
    return dataCentre;
  }

  /** Returns the rack. */
  public String rack() {
    return rack;
  }

  /** Returns the current state. */
  public InstanceState state() {
    return state;
  }

  /** Sets the state. */
  public void setState(InstanceState newState) {
    state = newState;
  }

  /** Sets the incarnation of the process that runs on the instance. */
  public void setIncarnation(String newIncarnation) {
    incarnation = newIncarnation;
  }

  /** Returns whether the instance is reachable. */
  public boolean isReachable() {
    return state != InstanceState.INSTANCE_GONE;
  }

  /** Returns the instance as an element of the platform's instance list. */
  public ListedInstance toListedInstance() {
    return ListedInstance.newBuilder()
        .setInstance(name)
        .setIncarnation(incarnation)
        .setKind(kind)
        .setState(state)
        .setDataCentre(dataCentre)
        .setRack(rack)
        .setFirstPool(firstPool)
        .setAddress(name)
        .setCapacity(CAPACITY)
        .build();
  }
}
