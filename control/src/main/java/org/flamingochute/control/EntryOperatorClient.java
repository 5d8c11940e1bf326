package org.flamingochute.control;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.ErrorBody;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.HistoryReport;
import org.flamingochute.schema.StatusReport;

/**
 * Calls the entries in the given order until one responds.
 *
 * <p>A read is retried at the next entry if there is no response or its status is 500 or higher. A
 * patch is sent to the next entry only if the previous one provably did not run it or responded
 * 503. If the response is lost or has another status of 500 or higher, the patch is searched for in
 * the history of any entry, repeatedly, because an entry may not have read its record yet. Example:
 * the first entry is killed after it appended the patch; the second lists the patch as accepted in
 * its history, and that is the result. After a conflict the history is searched once as well, so
 * that the patch counts as accepted if it was applied although an earlier entry reported a failure.
 */
public final class EntryOperatorClient implements OperatorClient {

  /** Maximum number of history lookups for a patch whose outcome is unknown. */
  public static final int HISTORY_LOOKUP_ATTEMPTS = 10;

  private static final String STALE_BASE = "FC-" + ErrorCode.PATCH_STALE_BASE.number();
  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE_CONTENT = 422;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final List<EntryConnection> entries;
  private final Duration historyLookupInterval;

  /**
   * Creates a client.
   *
   * @param entries connections to the entries; without any, every call fails as unreachable
   * @param historyLookupInterval delay between two history lookups
   */
  public EntryOperatorClient(List<EntryConnection> entries, Duration historyLookupInterval) {
    this.entries = List.copyOf(entries);
    this.historyLookupInterval = historyLookupInterval;
  }

  @Override
  public Either<ControlError, FleetDescription> description() {
    return read(
        "/operator/description?format=json", FleetDescription.newBuilder(), FleetDescription.class);
  }

  @Override
  public Either<ControlError, HistoryReport> history() {
    return read("/operator/history", HistoryReport.newBuilder(), HistoryReport.class);
  }

  @Override
  public Either<ControlError, StatusReport> status() {
    return read("/operator/status", StatusReport.newBuilder(), StatusReport.class);
  }

  private <T extends Message> Either<ControlError, T> read(
      String path, Message.Builder builder, Class<T> type) {
    List<String> failures = new ArrayList<>();
    for (EntryConnection entry : entries) {
      switch (entry.get(path)) {
        case EntryCallResult.Answered answered when answered.status() < FIRST_SERVER_ERROR -> {
          return parse(answered, builder, type);
        }
        case EntryCallResult.Answered answered ->
            failures.add(entry.address() + ": " + errorMessage(answered));
        case EntryCallResult.NotRun notRun ->
            failures.add(entry.address() + ": " + notRun.detail());
        case EntryCallResult.Unknown unknown ->
            failures.add(entry.address() + ": " + unknown.detail());
      }
    }
    return Either.left(new ControlError.Unreachable(failures));
  }

  private static <T extends Message> Either<ControlError, T> parse(
      EntryCallResult.Answered answered, Message.Builder builder, Class<T> type) {
    if (answered.status() != OK) {
      return Either.left(toError(answered));
    }
    try {
      JsonFormat.parser().ignoringUnknownFields().merge(answered.text(), builder);
      return Either.right(type.cast(builder.build()));
    } catch (InvalidProtocolBufferException e) {
      return Either.left(
          new ControlError.Refused("the response cannot be parsed: " + e.getMessage()));
    }
  }

  private static ControlError toError(EntryCallResult.Answered answered) {
    String message = errorMessage(answered);
    return switch (answered.status()) {
      case UNAUTHORIZED, FORBIDDEN -> new ControlError.NotAllowed(message);
      case UNPROCESSABLE_CONTENT -> new ControlError.InvalidDescription(List.of(message));
      default -> new ControlError.Refused(message);
    };
  }

  /** Returns the error message of a response: the result of an audit entry or an error body. */
  private static String errorMessage(EntryCallResult.Answered answered) {
    JsonFormat.Parser parser = JsonFormat.parser().ignoringUnknownFields();
    try {
      AuditEntry.Builder audit = AuditEntry.newBuilder();
      parser.merge(answered.text(), audit);
      if (!audit.getResult().isEmpty()) {
        return audit.getResult();
      }
      ErrorBody.Builder error = ErrorBody.newBuilder();
      parser.merge(answered.text(), error);
      return "FC-" + error.getCode() + ": " + error.getMessage();
    } catch (InvalidProtocolBufferException e) {
      return "status " + answered.status() + ": " + answered.text();
    }
  }

  @Override
  public Either<ControlError, AuditEntry> patch(FleetPatch patch) {
    String json;
    try {
      json = JsonFormat.printer().print(patch);
    } catch (InvalidProtocolBufferException e) {
      return Either.left(new ControlError.Refused("the patch cannot be converted to JSON"));
    }
    List<String> failures = new ArrayList<>();
    for (EntryConnection entry : entries) {
      switch (entry.post("/operator/patches", json)) {
        case EntryCallResult.Answered answered when answered.status() == SERVICE_UNAVAILABLE ->
            failures.add(entry.address() + ": " + errorMessage(answered));
        case EntryCallResult.Answered answered when answered.status() >= FIRST_SERVER_ERROR -> {
          return determineOutcome(patch, entry.address() + ": " + errorMessage(answered));
        }
        case EntryCallResult.Answered answered -> {
          return toPatchResult(patch, answered);
        }
        case EntryCallResult.NotRun notRun ->
            failures.add(entry.address() + ": " + notRun.detail());
        case EntryCallResult.Unknown unknown -> {
          return determineOutcome(patch, entry.address() + ": " + unknown.detail());
        }
      }
    }
    return Either.left(new ControlError.Unreachable(failures));
  }

  private Either<ControlError, AuditEntry> toPatchResult(
      FleetPatch patch, EntryCallResult.Answered answered) {
    if (answered.status() != CONFLICT) {
      return parse(answered, AuditEntry.newBuilder(), AuditEntry.class);
    }
    Optional<AuditEntry> found = findInHistory(patch).filter(AuditEntry::getAccepted);
    if (found.isPresent()) {
      return Either.right(found.get());
    }
    return Either.left(staleBaseError(patch));
  }

  private Optional<AuditEntry> findInHistory(FleetPatch patch) {
    return history()
        .toJavaOptional()
        .flatMap(history -> findAuditEntry(history, patch.getPatchId()));
  }

  private ControlError staleBaseError(FleetPatch patch) {
    return description()
        .<ControlError>map(
            current -> new ControlError.StaleBase(patch.getBaseVersion(), current.getVersion()))
        .getOrElseGet(error -> error);
  }

  private Either<ControlError, AuditEntry> determineOutcome(FleetPatch patch, String detail) {
    for (int i = 0; i < HISTORY_LOOKUP_ATTEMPTS; i++) {
      Optional<AuditEntry> found = findInHistory(patch);
      if (found.isPresent()) {
        return toOutcome(patch, found.get());
      }
      if (!sleepBetweenLookups()) {
        break;
      }
    }
    return Either.left(new ControlError.UnknownOutcome(patch.getPatchId(), detail));
  }

  private Either<ControlError, AuditEntry> toOutcome(FleetPatch patch, AuditEntry found) {
    if (found.getAccepted()) {
      return Either.right(found);
    }
    if (found.getResult().contains(STALE_BASE)) {
      return Either.left(staleBaseError(patch));
    }
    return Either.left(new ControlError.InvalidDescription(List.of(found.getResult())));
  }

  private boolean sleepBetweenLookups() {
    try {
      Thread.sleep(historyLookupInterval.toMillis());
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the audit entry of a patch; an accepted one is preferred to refused duplicates. */
  static Optional<AuditEntry> findAuditEntry(HistoryReport history, String patchId) {
    Optional<AuditEntry> refused = Optional.empty();
    for (AuditEntry entry : history.getEntriesList()) {
      if (!entry.getPatchId().equals(patchId)) {
        continue;
      }
      if (entry.getAccepted()) {
        return Optional.of(entry);
      }
      refused = Optional.of(entry);
    }
    return refused;
  }
}
