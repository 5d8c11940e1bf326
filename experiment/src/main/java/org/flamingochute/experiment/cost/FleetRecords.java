package org.flamingochute.experiment.cost;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.IdempotencyClaimed;
import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.InstanceObserved;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.JobSubmitted;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.MemberJoined;
import org.flamingochute.schema.ResourceAmount;
import org.flamingochute.schema.SettingChange;

/** Creates log records of a fleet of a given size. */
final class FleetRecords {

  private static final int PAYLOAD_BYTES = 64;

  static final String WRITER_INCARNATION = "entry-0-start";

  private FleetRecords() {}

  /**
   * Returns the records that describe a fleet with the given numbers of pools, teams and members.
   */
  static List<LogRecord> createDescription(int poolCount, int teamCount, int memberCount) {
    List<LogRecord> records = new ArrayList<>();
    for (int i = 0; i < memberCount; i++) {
      MemberJoined joined =
          MemberJoined.newBuilder()
              .setIncarnation("entry-" + i + "-start")
              .setInstance("entry-" + i)
              .setDataCentre("dc-" + i % 12)
              .setPeerAddress("10.0.0." + i + ":7000")
              .setHttpAddress("10.0.0." + i + ":8000")
              .build();
      records.add(newRecord("member-" + i).setMemberJoined(joined).build());
    }
    FleetPatch.Builder patch =
        FleetPatch.newBuilder().setPatchId("first").setOperatorName("bootstrap").setBaseVersion(0);
    patch.addChanges(createChange("fleet", "", "company", "measured"));
    patch.addChanges(createChange("operator", "operator", "digest", "sha256:" + "0".repeat(64)));
    patch.addChanges(createChange("operator", "operator", "rights", "patch"));
    for (int i = 0; i < poolCount; i++) {
      patch.addChanges(createChange("pool", "pool-" + i, "kind", "worker"));
      patch.addChanges(createChange("pool", "pool-" + i, "size", "15"));
    }
    for (int i = 0; i < teamCount; i++) {
      patch.addChanges(createChange("team", "team-" + i, "share", "1"));
      patch.addChanges(createChange("team", "team-" + i, "cap", "200"));
    }
    records.add(newRecord("patch-1").setPatch(patch).build());
    return records;
  }

  private static SettingChange createChange(String kind, String name, String key, String value) {
    return SettingChange.newBuilder()
        .setSectionKind(kind)
        .setSectionName(name)
        .setKey(key)
        .setValue(value)
        .build();
  }

  static LogRecord createJob(int number, int poolCount, int teamCount) {
    JobSubmitted job =
        JobSubmitted.newBuilder()
            .setJob("job-" + number)
            .setTeam("team-" + number % teamCount)
            .setPool("pool-" + number % poolCount)
            .setDeclared(createAmount(4_000, 8_192))
            .setDeclaredRunMilliseconds(60_000)
            .setIdempotent(true)
            .setPayload(ByteString.copyFrom(new byte[PAYLOAD_BYTES]))
            .build();
    return newRecord("job-record-" + number).setJobSubmitted(job).build();
  }

  static LogRecord createInstance(int number, int poolCount) {
    InstanceObserved observed =
        InstanceObserved.newBuilder()
            .setInstance("worker-" + number)
            .setKind(InstanceKind.INSTANCE_WORKER)
            .setState(InstanceState.INSTANCE_LIVE)
            .setDataCentre("dc-" + number % 12)
            .setRack("rack-" + number / 4)
            .setFirstPool("pool-" + number % poolCount)
            .setAddress("10.1." + number / 250 + "." + number % 250 + ":9000")
            .setCapacity(createAmount(64_000, 131_072))
            .build();
    return newRecord("instance-record-" + number).setInstanceObserved(observed).build();
  }

  static LogRecord createClaim(int number, int teamCount) {
    IdempotencyClaimed claim =
        IdempotencyClaimed.newBuilder()
            .setTeam("team-" + number % teamCount)
            .setIdempotencyKey("key-" + number)
            .setIncarnation(WRITER_INCARNATION)
            .setRequestDigest("0123456789abcdef0123456789abcdef")
            .build();
    return newRecord("claim-record-" + number).setIdempotencyClaimed(claim).build();
  }

  static LogRecord createPatch(int number) {
    FleetPatch patch =
        FleetPatch.newBuilder()
            .setPatchId("patch-" + number)
            .setOperatorName("operator")
            .setBaseVersion(number)
            .addChanges(createChange("team", "team-0", "share", Integer.toString(2 + number % 7)))
            .build();
    return newRecord("patch-record-" + number).setPatch(patch).build();
  }

  private static ResourceAmount createAmount(int processorMillicores, int memoryMebibytes) {
    return ResourceAmount.newBuilder()
        .setProcessorMillicores(processorMillicores)
        .setMemoryMebibytes(memoryMebibytes)
        .build();
  }

  private static LogRecord.Builder newRecord(String id) {
    return LogRecord.newBuilder().setRecordId(id).setFormatVersion(1).setWriter(WRITER_INCARNATION);
  }
}
