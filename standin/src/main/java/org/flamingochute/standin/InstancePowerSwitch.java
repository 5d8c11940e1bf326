package org.flamingochute.standin;

import org.flamingochute.schema.ListedInstance;

/** Powers instances up and down. */
@FunctionalInterface
public interface InstancePowerSwitch {

  /** Powers an instance up or down; must not block. */
  void setPower(ListedInstance instance, boolean on);
}
