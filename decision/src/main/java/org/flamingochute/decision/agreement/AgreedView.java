package org.flamingochute.decision.agreement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
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
import org.flamingochute.schema.MemberImage;
import org.flamingochute.schema.PlacerImage;
import org.flamingochute.schema.TeamEscrowImage;
import org.flamingochute.schema.WaveImage;

/** Read access to the agreed state. All methods are cheap and safe to call from any thread. */
public interface AgreedView {

  /** Returns the offset of the last folded record, or -1 before the first. */
  long offset();

  /** Returns the largest append time folded so far, in milliseconds since the epoch. */
  long timeMilliseconds();

  /** Returns the fleet description in force; version 0 is empty. */
  FleetDescription description();

  /** Returns the audit trail, oldest first. */
  List<AuditEntry> audit();

  /** Returns the live members in order of joining. */
  List<MemberImage> members();

  /** Tells whether the incarnation is a live member. */
  boolean isMember(Incarnation incarnation);

  /** Returns the claim of a team's idempotency key. */
  Optional<ClaimImage> claim(TeamId team, IdempotencyKey key);

  /** Returns a job. */
  Optional<JobImage> job(JobId job);

  /** Returns the job that a team submitted with an idempotency key. */
  Optional<JobImage> job(TeamId team, IdempotencyKey key);

  /** Returns the jobs of a pool in the given phase, in order of submission. */
  Collection<JobImage> jobs(PoolId pool, JobPhase phase);

  /** Returns the escrow of a team, also of one that was removed and is not settled yet. */
  Optional<TeamEscrowImage> escrow(TeamId team);

  /** Returns the placer of a pool. */
  Optional<PlacerImage> placer(PoolId pool);

  /** Returns an instance. */
  Optional<InstanceImage> instance(InstanceId instance);

  /** Returns all known instances that are not gone, in order of their names. */
  Collection<InstanceImage> instances();

  /** Returns the instances of a pool that are not gone, in order of their names. */
  Collection<InstanceImage> instances(PoolId pool);

  /** Returns the progress of a wave. */
  Optional<WaveImage> wave(WaveId wave);

  /** Returns the time at which a record is needed for a due transition, or -1 when none is due. */
  long nextDueMilliseconds();

  /** Returns an image of the whole state at this offset. */
  AgreedStateImage image();
}
