package org.flamingochute.control;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.fleet.FleetPatcher;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.HistoryReport;
import org.flamingochute.schema.StatusReport;

/** An operator client that keeps one description and its audit trail in memory. */
final class InMemoryOperatorClient implements OperatorClient {

  private final List<AuditEntry> auditEntries = new ArrayList<>();
  private FleetDescription description;
  private int concurrentPatches;

  InMemoryOperatorClient(FleetDescription description) {
    this.description = description;
  }

  /** Sets how many of the next patches conflict with a concurrent patch of another operator. */
  void setConcurrentPatches(int count) {
    concurrentPatches = count;
  }

  @Override
  public Either<ControlError, FleetDescription> description() {
    return Either.right(description);
  }

  @Override
  public Either<ControlError, HistoryReport> history() {
    return Either.right(HistoryReport.newBuilder().addAllEntries(auditEntries).build());
  }

  @Override
  public Either<ControlError, StatusReport> status() {
    return Either.right(
        StatusReport.newBuilder().setVersion(description.getVersion()).setReady(true).build());
  }

  @Override
  public Either<ControlError, AuditEntry> patch(FleetPatch patch) {
    if (concurrentPatches > 0) {
      concurrentPatches--;
      description = description.toBuilder().setVersion(description.getVersion() + 1).build();
    }
    if (patch.getBaseVersion() != description.getVersion()) {
      return Either.left(
          new ControlError.StaleBase(patch.getBaseVersion(), description.getVersion()));
    }
    Either<List<ErrorReport>, FleetDescription> result =
        new FleetPatcher().apply(description, patch);
    if (result.isLeft()) {
      return Either.left(
          new ControlError.InvalidDescription(
              result.getLeft().stream().map(ErrorReport::toString).toList()));
    }
    description = result.get();
    AuditEntry entry =
        AuditEntry.newBuilder()
            .setPatchId(patch.getPatchId())
            .setOperatorName(patch.getOperatorName())
            .setBaseVersion(patch.getBaseVersion())
            .setResultingVersion(description.getVersion())
            .setAccepted(true)
            .addAllChanges(patch.getChangesList())
            .setReason(patch.getReason())
            .build();
    auditEntries.add(entry);
    return Either.right(entry);
  }
}
