package org.flamingochute.decision.agreement;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.identity.WaveId;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.ClaimImage;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.MemberImage;
import org.flamingochute.schema.PlacerImage;
import org.flamingochute.schema.TeamEscrowImage;
import org.flamingochute.schema.WaveImage;

/**
 * The agreed state: a replicated state machine that applies the records of the log in order.
 *
 * <p>Applying records is deterministic and total. The result depends only on the bytes, offsets and
 * append times of the records, so all processes that have applied the same records have the same
 * state, and no record, however malformed, stops it. Example: two operators append patches against
 * version 7. The first in the log creates version 8, and the second is refused with a stale base.
 * Every process reaches this result without communicating with another one.
 *
 * <p>Records are applied by one thread at a time, under the lock of this object. Each table has its
 * own lock, so that reads other than {@link #image} do not wait until a record has been applied.
 */
public final class AgreedState implements AgreedView {

  /** Latest version of the record format and of the image format that this code can read. */
  public static final int FORMAT_VERSION = 1;

  private static final long BEFORE_FIRST_OFFSET = -1;

  private final AgreementListeners listeners = new AgreementListeners();
  private final StateTables tables = new StateTables(listeners);
  private final RecordApplier recordApplier = new RecordApplier(tables, listeners);
  private volatile long offset = BEFORE_FIRST_OFFSET;
  private volatile long timeMilliseconds;

  private AgreedState() {}

  /** Returns the state before the first record. */
  public static AgreedState empty() {
    return new AgreedState();
  }

  /** Adds a listener for all later changes. */
  public void addListener(AgreementListener listener) {
    listeners.add(listener);
  }

  /**
   * Applies one record. A record at an offset that was already applied changes nothing. A record
   * after a gap is not applied, since the missing records may affect its result; the first record
   * may have any offset.
   *
   * @param recordOffset the record's offset
   * @param appendTimeMilliseconds the platform's append time, in milliseconds since the epoch
   * @param record the record's bytes
   */
  public synchronized ApplyResult apply(
      long recordOffset, long appendTimeMilliseconds, byte[] record) {
    if (recordOffset <= offset) {
      return new ApplyResult.Duplicate();
    }
    if (offset != BEFORE_FIRST_OFFSET && recordOffset != offset + 1) {
      return ApplyResults.unreadable(
          ErrorCode.RECORD_UNREADABLE, recordOffset, "offset " + (offset + 1) + " is missing");
    }
    offset = recordOffset;
    timeMilliseconds = Math.max(timeMilliseconds, appendTimeMilliseconds);
    ApplyPosition position = new ApplyPosition(offset, timeMilliseconds);
    LogRecord parsed = parse(record);
    ApplyResult result = parsed == null ? unreadable() : applyParsed(parsed, position);
    tables.escrows().closeDueEpochs(position);
    tables.prune(position);
    if (parsed != null) {
      listeners.recordApplied(offset, parsed, result);
    }
    return result;
  }

  private static LogRecord parse(byte[] record) {
    try {
      return LogRecord.parseFrom(record);
    } catch (InvalidProtocolBufferException e) {
      return null;
    }
  }

  private ApplyResult unreadable() {
    return ApplyResults.unreadable(
        ErrorCode.RECORD_UNREADABLE, offset, "it is not a message of the schema");
  }

  private ApplyResult applyParsed(LogRecord record, ApplyPosition position) {
    if (record.getFormatVersion() > FORMAT_VERSION) {
      return ApplyResults.unreadable(
          ErrorCode.RECORD_FUTURE_FORMAT, offset, record.getFormatVersion(), FORMAT_VERSION);
    }
    if (record.getBodyCase() == LogRecord.BodyCase.BODY_NOT_SET) {
      return ApplyResults.unreadable(
          ErrorCode.RECORD_UNREADABLE, offset, "it has no body of a known type");
    }
    Optional<ApplyResult> invalid =
        new RecordFieldValidator(position)
            .requireIdentifier("record_id", record.getRecordId())
            .refusal();
    if (invalid.isPresent()) {
      return invalid.get();
    }
    if (!tables.recentRecordIds().add(record.getRecordId(), offset)) {
      return new ApplyResult.Duplicate();
    }
    return recordApplier.apply(record, position);
  }

  /**
   * Replaces the whole state by an image of a later offset. An image at the current or an earlier
   * offset, or of a newer format, changes nothing.
   *
   * @return whether the state was replaced
   */
  public synchronized boolean replaceWith(AgreedStateImage image) {
    if (image.getOffset() <= offset || image.getFormatVersion() > FORMAT_VERSION) {
      return false;
    }
    tables.load(image);
    offset = image.getOffset();
    timeMilliseconds = image.getTimeMilliseconds();
    listeners.stateReplaced();
    return true;
  }

  @Override
  public synchronized AgreedStateImage image() {
    return tables
        .image()
        .setFormatVersion(FORMAT_VERSION)
        .setOffset(offset)
        .setTimeMilliseconds(timeMilliseconds)
        .build();
  }

  @Override
  public long offset() {
    return offset;
  }

  @Override
  public long timeMilliseconds() {
    return timeMilliseconds;
  }

  @Override
  public FleetDescription description() {
    return tables.description();
  }

  @Override
  public List<AuditEntry> audit() {
    return tables.audit().entries();
  }

  @Override
  public List<MemberImage> members() {
    return tables.members().members();
  }

  @Override
  public boolean isMember(Incarnation incarnation) {
    return tables.members().isMember(incarnation);
  }

  @Override
  public Optional<ClaimImage> claim(TeamId team, IdempotencyKey key) {
    return tables.claims().find(team, key);
  }

  @Override
  public Optional<JobImage> job(JobId job) {
    return tables.jobs().job(job);
  }

  @Override
  public Optional<JobImage> job(TeamId team, IdempotencyKey key) {
    return tables.jobs().job(team, key);
  }

  @Override
  public Collection<JobImage> jobs(PoolId pool, JobPhase phase) {
    return tables.jobs().jobs(pool, phase);
  }

  @Override
  public Optional<TeamEscrowImage> escrow(TeamId team) {
    return tables.escrows().escrow(team);
  }

  @Override
  public Optional<PlacerImage> placer(PoolId pool) {
    return tables.placers().placer(pool);
  }

  @Override
  public Optional<InstanceImage> instance(InstanceId instance) {
    return tables.instances().instance(instance);
  }

  @Override
  public Collection<InstanceImage> instances() {
    return tables.instances().presentInstances();
  }

  @Override
  public Collection<InstanceImage> instances(PoolId pool) {
    return tables.instances().presentInstances(pool);
  }

  @Override
  public Optional<WaveImage> wave(WaveId wave) {
    return tables.waves().wave(wave);
  }

  @Override
  public long nextTransitionMilliseconds() {
    return tables.escrows().nextSettlementMilliseconds(timeMilliseconds);
  }
}
