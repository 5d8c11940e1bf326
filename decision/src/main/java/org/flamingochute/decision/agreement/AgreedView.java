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

/** Read access to the agreed state. All methods are thread-safe, and all but image() are cheap. */
public interface AgreedView {

  /** Returns the offset of the last applied record, or -1 before the first. */
  long offset();

  /** Returns the largest append time applied so far, in milliseconds since the epoch. */
  long timeMilliseconds();

  /** Returns the current fleet description; version 0 is empty. */
  FleetDescription description();

  /** Returns the audit trail, oldest first. */
  List<AuditEntry> audit();

  /** Returns the live members in order of joining. */
  List<MemberImage> members();

  /** Returns whether the incarnation is a live member. */
  boolean isMember(Incarnation incarnation);

  /** Returns the claim of a team's idempotency key, open or ended. */
  Optional<ClaimImage> claim(TeamId team, IdempotencyKey key);

  /** Returns a job. */
  Optional<JobImage> job(JobId job);

  /** Returns the job that a team submitted with an idempotency key. */
  Optional<JobImage> job(TeamId team, IdempotencyKey key);

  /** Returns the jobs of a pool in the given phase, in order of submission. */
  Collection<JobImage> jobs(PoolId pool, JobPhase phase);

  /** Returns the escrow of a team, including a removed team that is not settled yet. */
  Optional<TeamEscrowImage> escrow(TeamId team);

  /** Returns the last placer of a pool, which may no longer be a member. */
  Optional<PlacerImage> placer(PoolId pool);

  /** Returns an instance, which may be gone. */
  Optional<InstanceImage> instance(InstanceId instance);

  /** Returns all instances that are not gone, ordered by name. */
  Collection<InstanceImage> instances();

  /** Returns the instances of a pool that are not gone, ordered by name. */
  Collection<InstanceImage> instances(PoolId pool);

  /** Returns the progress of a wave. */
  Optional<WaveImage> wave(WaveId wave);

  /**
   * Returns the earliest time at which a transition becomes due and a record must be appended to
   * trigger it, in milliseconds since the epoch; -1 if there is none.
   */
  long nextTransitionMilliseconds();

  /** Returns an image of the whole state at the current offset. */
  AgreedStateImage image();
}
