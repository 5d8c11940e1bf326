package org.flamingochute.decision.placement;

import org.flamingochute.schema.ResourceAmount;

/**
 * An amount of each resource of a worker.
 *
 * @param processorMillicores processors in thousandths of a core
 * @param memoryMebibytes memory in MiB
 * @param accelerators whole accelerators
 */
public record ResourceVector(long processorMillicores, long memoryMebibytes, long accelerators) {

  /** The zero vector. */
  public static final ResourceVector ZERO = new ResourceVector(0, 0, 0);

  /** Converts from the record format. */
  public static ResourceVector of(ResourceAmount amount) {
    return new ResourceVector(
        amount.getProcessorMillicores(), amount.getMemoryMebibytes(), amount.getAccelerators());
  }

  /** Converts to the record format. */
  public ResourceAmount toAmount() {
    return ResourceAmount.newBuilder()
        .setProcessorMillicores(Math.toIntExact(processorMillicores))
        .setMemoryMebibytes(Math.toIntExact(memoryMebibytes))
        .setAccelerators(Math.toIntExact(accelerators))
        .build();
  }

  /** Returns the sum. */
  public ResourceVector plus(ResourceVector other) {
    return new ResourceVector(
        processorMillicores + other.processorMillicores,
        memoryMebibytes + other.memoryMebibytes,
        accelerators + other.accelerators);
  }

  /** Returns the difference; components may become negative. */
  public ResourceVector minus(ResourceVector other) {
    return new ResourceVector(
        processorMillicores - other.processorMillicores,
        memoryMebibytes - other.memoryMebibytes,
        accelerators - other.accelerators);
  }

  /** Returns this amount multiplied by a number. */
  public ResourceVector times(long count) {
    return new ResourceVector(
        processorMillicores * count, memoryMebibytes * count, accelerators * count);
  }

  /** Returns whether each component is at most that of the other vector. */
  public boolean fitsIn(ResourceVector other) {
    return processorMillicores <= other.processorMillicores
        && memoryMebibytes <= other.memoryMebibytes
        && accelerators <= other.accelerators;
  }

  /** Returns the largest fraction of the total over all resources; 0 for one whose total is 0. */
  public double dominantShare(ResourceVector total) {
    double processors = fraction(processorMillicores, total.processorMillicores);
    double memory = fraction(memoryMebibytes, total.memoryMebibytes);
    double accelerated = fraction(accelerators, total.accelerators);
    return Math.max(processors, Math.max(memory, accelerated));
  }

  private static double fraction(long amount, long total) {
    return total <= 0 ? 0 : (double) amount / total;
  }
}
