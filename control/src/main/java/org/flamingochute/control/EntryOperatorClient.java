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
 * Asks the entries in the given order until one answers.
 *
 * <p>Reads go on to the next entry after any failure. A patch goes on to the next entry only when
 * the one before provably did not take it. When its reply is lost, the patch is looked for in the
 * history of any entry, several times, because the record may still be on its way. Example: the
 * first entry is killed after it appended the patch; the second shows it as accepted in its
 * history, and that is the result. A conflict is checked in the same way, since an entry may report
 * a failure after its record was appended all the same.
 */
public final class EntryOperatorClient implements OperatorClient {

  /** Times that the history is asked for a patch whose reply was lost. */
  public static final int SETTLING_TRIES = 10;

  private static final String STALE_BASE = "FC-" + ErrorCode.PATCH_STALE_BASE.number();
  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final int CONFLICT = 409;
  private static final int INVALID = 422;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final List<EntryConnection> entries;
  private final Duration settlingInterval;

  /**
   * Creates a client.
   *
   * @param entries the entries, at least one
   * @param settlingInterval pause between two looks into the history
   */
  public EntryOperatorClient(List<EntryConnection> entries, Duration settlingInterval) {
    this.entries = List.copyOf(entries);
    this.settlingInterval = settlingInterval;
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
        case EntryAnswer.Answered answered when answered.status() < FIRST_SERVER_ERROR -> {
          return parse(answered, builder, type);
        }
        case EntryAnswer.Answered answered ->
            failures.add(entry.address() + ": " + messageOf(answered));
        case EntryAnswer.NotSent notSent -> failures.add(entry.address() + ": " + notSent.detail());
        case EntryAnswer.Lost lost -> failures.add(entry.address() + ": " + lost.detail());
      }
    }
    return Either.left(new ControlError.Unreachable(failures));
  }

  private static <T extends Message> Either<ControlError, T> parse(
      EntryAnswer.Answered answered, Message.Builder builder, Class<T> type) {
    if (answered.status() != OK) {
      return Either.left(refusalOf(answered));
    }
    try {
      JsonFormat.parser().ignoringUnknownFields().merge(answered.text(), builder);
      return Either.right(type.cast(builder.build()));
    } catch (InvalidProtocolBufferException e) {
      return Either.left(new ControlError.Refused("the answer cannot be read: " + e.getMessage()));
    }
  }

  private static ControlError refusalOf(EntryAnswer.Answered answered) {
    String message = messageOf(answered);
    return switch (answered.status()) {
      case UNAUTHORIZED, FORBIDDEN -> new ControlError.NotAllowed(message);
      case INVALID -> new ControlError.InvalidDescription(List.of(message));
      default -> new ControlError.Refused(message);
    };
  }

  /** Returns the explanation in an answer: an audit entry's result or an error's message. */
  private static String messageOf(EntryAnswer.Answered answered) {
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
      return Either.left(new ControlError.Refused("the patch has no JSON form"));
    }
    List<String> failures = new ArrayList<>();
    for (EntryConnection entry : entries) {
      switch (entry.post("/operator/patches", json)) {
        case EntryAnswer.Answered answered when answered.status() == UNAVAILABLE ->
            failures.add(entry.address() + ": " + messageOf(answered));
        case EntryAnswer.Answered answered when answered.status() >= FIRST_SERVER_ERROR -> {
          return settle(patch, entry.address() + ": " + messageOf(answered));
        }
        case EntryAnswer.Answered answered -> {
          return patched(patch, answered);
        }
        case EntryAnswer.NotSent notSent -> failures.add(entry.address() + ": " + notSent.detail());
        case EntryAnswer.Lost lost -> {
          return settle(patch, entry.address() + ": " + lost.detail());
        }
      }
    }
    return Either.left(new ControlError.Unreachable(failures));
  }

  private Either<ControlError, AuditEntry> patched(
      FleetPatch patch, EntryAnswer.Answered answered) {
    if (answered.status() != CONFLICT) {
      return parse(answered, AuditEntry.newBuilder(), AuditEntry.class);
    }
    Optional<AuditEntry> found = lookUp(patch).filter(AuditEntry::getAccepted);
    if (found.isPresent()) {
      return Either.right(found.get());
    }
    return Either.left(staleBase(patch));
  }

  private Optional<AuditEntry> lookUp(FleetPatch patch) {
    return history().toJavaOptional().flatMap(history -> find(history, patch.getPatchId()));
  }

  private ControlError staleBase(FleetPatch patch) {
    return description()
        .<ControlError>map(
            inForce -> new ControlError.StaleBase(patch.getBaseVersion(), inForce.getVersion()))
        .getOrElseGet(error -> error);
  }

  private Either<ControlError, AuditEntry> settle(FleetPatch patch, String detail) {
    for (int i = 0; i < SETTLING_TRIES; i++) {
      Optional<AuditEntry> found = lookUp(patch);
      if (found.isPresent()) {
        return settled(patch, found.get());
      }
      if (!pause()) {
        break;
      }
    }
    return Either.left(new ControlError.UnknownOutcome(patch.getPatchId(), detail));
  }

  private Either<ControlError, AuditEntry> settled(FleetPatch patch, AuditEntry found) {
    if (found.getAccepted()) {
      return Either.right(found);
    }
    if (found.getResult().contains(STALE_BASE)) {
      return Either.left(staleBase(patch));
    }
    return Either.left(new ControlError.InvalidDescription(List.of(found.getResult())));
  }

  private boolean pause() {
    try {
      Thread.sleep(settlingInterval.toMillis());
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the entry of a patch, the accepted one before any refused copy. */
  static Optional<AuditEntry> find(HistoryReport history, String patchId) {
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
