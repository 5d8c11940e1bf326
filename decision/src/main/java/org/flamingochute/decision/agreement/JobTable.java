package org.flamingochute.decision.agreement;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.JobSubmitted;

/**
 * The jobs, indexed by id, by idempotency key, and by pool and phase in order of submission.
 *
 * <p>Jobs that wait or run are never removed. Jobs that succeeded or were cancelled are retained
 * for an hour, and those that need a person's attention, parked or of unknown outcome, for a week.
 */
final class JobTable {

  /** Time for which a succeeded or cancelled job is retained, in milliseconds. */
  static final long COMPLETED_RETENTION_MILLISECONDS = 3_600_000;

  /** Time for which a parked job or one of unknown outcome is retained, in milliseconds. */
  static final long ATTENTION_RETENTION_MILLISECONDS = 604_800_000;

  /** Maximum number of jobs that are retained in each of these two groups. */
  static final int MAXIMUM_ENDED_JOBS = 20_000;

  private static final Comparator<EndedJob> BY_AGE =
      Comparator.comparingLong(EndedJob::endedMilliseconds).thenComparing(EndedJob::job);

  private final Map<JobId, Entry> jobs = new HashMap<>();
  private final Map<TeamKey, JobId> byKey = new HashMap<>();
  private final Map<PoolPhase, TreeMap<Long, JobImage>> byPhase = new HashMap<>();
  private final TreeSet<EndedJob> completed = new TreeSet<>(BY_AGE);
  private final TreeSet<EndedJob> needingAttention = new TreeSet<>(BY_AGE);
  private long nextSequence;

  /** Adds a new job. */
  synchronized void add(JobImage job) {
    JobId id = new JobId(job.getSubmitted().getJob());
    Entry entry = new Entry(nextSequence++, job);
    jobs.put(id, entry);
    String key = job.getSubmitted().getIdempotencyKey();
    if (!key.isEmpty()) {
      byKey.put(TeamKey.of(job.getSubmitted().getTeam(), key), id);
    }
    index(id, entry);
  }

  /** Changes an existing job; the payload of one that succeeds or is cancelled is removed. */
  synchronized void changeJob(JobId id, UnaryOperator<JobImage> change) {
    Entry entry = jobs.get(id);
    removeFromIndex(id, entry);
    Entry changed = new Entry(entry.sequence(), withoutCompletedPayload(change.apply(entry.job())));
    jobs.put(id, changed);
    index(id, changed);
  }

  private static JobImage withoutCompletedPayload(JobImage job) {
    boolean isCompleted =
        job.getPhase() == JobPhase.JOB_SUCCEEDED || job.getPhase() == JobPhase.JOB_CANCELLED;
    if (!isCompleted) {
      return job;
    }
    return job.toBuilder()
        .setSubmitted(job.getSubmitted().toBuilder().setPayload(ByteString.EMPTY))
        .build();
  }

  private void index(JobId id, Entry entry) {
    byPhase
        .computeIfAbsent(PoolPhase.of(entry.job()), absent -> new TreeMap<>())
        .put(entry.sequence(), entry.job());
    EndedJob ended = new EndedJob(entry.job().getEndedMilliseconds(), id);
    switch (entry.job().getPhase()) {
      case JOB_SUCCEEDED, JOB_CANCELLED -> completed.add(ended);
      case JOB_PARKED, JOB_OUTCOME_UNKNOWN -> needingAttention.add(ended);
      default -> {
        // Jobs that wait or run are not removed.
      }
    }
  }

  private void removeFromIndex(JobId id, Entry entry) {
    PoolPhase phase = PoolPhase.of(entry.job());
    TreeMap<Long, JobImage> inPhase = byPhase.get(phase);
    inPhase.remove(entry.sequence());
    if (inPhase.isEmpty()) {
      byPhase.remove(phase);
    }
    EndedJob ended = new EndedJob(entry.job().getEndedMilliseconds(), id);
    completed.remove(ended);
    needingAttention.remove(ended);
  }

  synchronized Optional<JobImage> job(JobId id) {
    return Optional.ofNullable(jobs.get(id)).map(Entry::job);
  }

  synchronized Optional<JobImage> job(TeamId team, IdempotencyKey key) {
    return Optional.ofNullable(byKey.get(new TeamKey(team, key))).flatMap(this::job);
  }

  /** Returns the jobs of a pool in a phase, in order of submission. */
  synchronized List<JobImage> jobs(PoolId pool, JobPhase phase) {
    TreeMap<Long, JobImage> found = byPhase.get(new PoolPhase(pool.value(), phase));
    return found == null ? List.of() : List.copyOf(found.values());
  }

  /** Returns the waiting jobs of a team, in order of submission. */
  synchronized List<JobImage> waitingJobs(TeamId team) {
    return jobs.values().stream()
        .filter(entry -> entry.job().getPhase() == JobPhase.JOB_WAITING)
        .filter(entry -> entry.job().getSubmitted().getTeam().equals(team.value()))
        .sorted(Comparator.comparingLong(Entry::sequence))
        .map(Entry::job)
        .toList();
  }

  /** Returns whether a pool has jobs that wait or run. */
  synchronized boolean hasUnfinishedJobs(PoolId pool) {
    return byPhase.containsKey(new PoolPhase(pool.value(), JobPhase.JOB_WAITING))
        || byPhase.containsKey(new PoolPhase(pool.value(), JobPhase.JOB_RUNNING));
  }

  /** Removes expired and excess ended jobs. */
  synchronized void prune(ApplyPosition position) {
    prune(completed, position, COMPLETED_RETENTION_MILLISECONDS);
    prune(needingAttention, position, ATTENTION_RETENTION_MILLISECONDS);
  }

  private void prune(TreeSet<EndedJob> group, ApplyPosition position, long retentionMilliseconds) {
    while (!group.isEmpty()) {
      EndedJob oldest = group.first();
      boolean isExpired = position.isExpired(oldest.endedMilliseconds(), retentionMilliseconds);
      if (!isExpired && group.size() <= MAXIMUM_ENDED_JOBS) {
        return;
      }
      remove(oldest.job());
    }
  }

  private void remove(JobId id) {
    Entry entry = jobs.remove(id);
    removeFromIndex(id, entry);
    String key = entry.job().getSubmitted().getIdempotencyKey();
    if (!key.isEmpty()) {
      byKey.remove(TeamKey.of(entry.job().getSubmitted().getTeam(), key));
    }
  }

  /** Returns all jobs in order of submission. */
  synchronized List<JobImage> image() {
    List<Entry> entries = new ArrayList<>(jobs.values());
    entries.sort(Comparator.comparingLong(Entry::sequence));
    return entries.stream().map(Entry::job).toList();
  }

  /** Replaces the content by that of an image. */
  synchronized void load(List<JobImage> image) {
    jobs.clear();
    byKey.clear();
    byPhase.clear();
    completed.clear();
    needingAttention.clear();
    nextSequence = 0;
    for (JobImage job : image) {
      if (isLoadable(job.getSubmitted())) {
        add(job);
      }
    }
  }

  private boolean isLoadable(JobSubmitted job) {
    String key = job.getIdempotencyKey();
    return Identifiers.isValid(job.getJob())
        && Identifiers.isValid(job.getTeam())
        && Identifiers.isValid(job.getPool())
        && (key.isEmpty() || Identifiers.isValid(key))
        && !jobs.containsKey(new JobId(job.getJob()));
  }

  private record Entry(long sequence, JobImage job) {}

  private record EndedJob(long endedMilliseconds, JobId job) {}

  private record PoolPhase(String pool, JobPhase phase) {

    static PoolPhase of(JobImage job) {
      return new PoolPhase(job.getSubmitted().getPool(), job.getPhase());
    }
  }

  private record TeamKey(TeamId team, IdempotencyKey key) {

    static TeamKey of(String team, String key) {
      return new TeamKey(new TeamId(team), new IdempotencyKey(key));
    }
  }
}
