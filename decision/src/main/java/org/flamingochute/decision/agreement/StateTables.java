package org.flamingochute.decision.agreement;

import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.FleetDescription;

/** All tables of the agreed state. */
final class StateTables {

  private final AuditTrail audit = new AuditTrail();
  private final MemberTable members = new MemberTable();
  private final ClaimTable claims = new ClaimTable();
  private final JobTable jobs = new JobTable();
  private final InstanceTable instances = new InstanceTable();
  private final PlacerTable placers = new PlacerTable();
  private final WaveTable waves = new WaveTable();
  private final RecentRecordIds recentRecordIds = new RecentRecordIds();
  private final ReissueDelay reissueDelay = new ReissueDelay();
  private final EscrowTable escrows;
  private volatile FleetDescription description = FleetDescription.getDefaultInstance();

  StateTables(AgreementListener listener) {
    this.escrows = new EscrowTable(members, listener);
  }

  FleetDescription description() {
    return description;
  }

  void setDescription(FleetDescription newDescription) {
    description = newDescription;
  }

  AuditTrail audit() {
    return audit;
  }

  MemberTable members() {
    return members;
  }

  ClaimTable claims() {
    return claims;
  }

  JobTable jobs() {
    return jobs;
  }

  InstanceTable instances() {
    return instances;
  }

  PlacerTable placers() {
    return placers;
  }

  WaveTable waves() {
    return waves;
  }

  EscrowTable escrows() {
    return escrows;
  }

  ReissueDelay reissueDelay() {
    return reissueDelay;
  }

  RecentRecordIds recentRecordIds() {
    return recentRecordIds;
  }

  /**
   * Removes expired and excess entries. Depends only on the time of the position and on counts, so
   * that it is deterministic.
   */
  void prune(ApplyPosition position) {
    members.prune(position);
    claims.prune(position);
    jobs.prune(position);
    instances.prune(position);
  }

  /** Returns the image of all tables, without offset and time. */
  AgreedStateImage.Builder image() {
    return AgreedStateImage.newBuilder()
        .setDescription(description)
        .addAllAudit(audit.entries())
        .addAllMembers(members.image())
        .addAllEscrow(escrows.image())
        .addAllClaims(claims.image())
        .addAllJobs(jobs.image())
        .addAllInstances(instances.image())
        .addAllPlacers(placers.image())
        .addAllWaves(waves.image())
        .addAllRecentRecords(recentRecordIds.image())
        .setHoldBack(reissueDelay.image());
  }

  /** Replaces all tables by the content of an image. */
  void load(AgreedStateImage image) {
    description = image.getDescription();
    audit.load(image.getAuditList());
    members.load(image.getMembersList());
    escrows.load(image.getDescription(), image.getEscrowList());
    claims.load(image.getClaimsList());
    jobs.load(image.getJobsList());
    instances.load(image.getInstancesList());
    placers.load(image.getPlacersList());
    waves.load(image.getWavesList());
    recentRecordIds.load(image.getRecentRecordsList());
    reissueDelay.load(image.getDescription(), image.getHoldBack());
  }
}
