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

  /** Nothing. */
  public static final ResourceVector ZERO = new ResourceVector(0, 0, 0);

  /** Converts the form that is used in records. */
  public static ResourceVector of(ResourceAmount amount) {
    return new ResourceVector(
        amount.getProcessorMillicores(), amount.getMemoryMebibytes(), amount.getAccelerators());
  }

  /** Converts to the form that is used in records. */
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

  /** Returns the difference; a part may become negative. */
  public ResourceVector minus(ResourceVector other) {
    return new ResourceVector(
        processorMillicores - other.processorMillicores,
        memoryMebibytes - other.memoryMebibytes,
        accelerators - other.accelerators);
  }

  /** Tells whether each part is at most the same part of the other. */
  public boolean fitsIn(ResourceVector other) {
    return processorMillicores <= other.processorMillicores
        && memoryMebibytes <= other.memoryMebibytes
        && accelerators <= other.accelerators;
  }

  /** Returns the largest part of the total that this amount takes of any resource, from 0 up. */
  public double dominantPart(ResourceVector total) {
    double processors = part(processorMillicores, total.processorMillicores);
    double memory = part(memoryMebibytes, total.memoryMebibytes);
    double accelerated = part(accelerators, total.accelerators);
    return Math.max(processors, Math.max(memory, accelerated));
  }

  private static double part(long amount, long total) {
    return total <= 0 ? 0 : (double) amount / total;
  }
}
