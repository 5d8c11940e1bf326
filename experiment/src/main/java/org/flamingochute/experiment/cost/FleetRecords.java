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

/** Log records of a fleet of a given size. */
final class FleetRecords {

  private static final int PAYLOAD_BYTES = 64;

  static final String WRITER = "entry-0-start";

  private FleetRecords() {}

  /** Returns the records that describe a fleet of the given numbers of pools and teams. */
  static List<LogRecord> description(int pools, int teams, int members) {
    List<LogRecord> records = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      MemberJoined joined =
          MemberJoined.newBuilder()
              .setIncarnation("entry-" + i + "-start")
              .setInstance("entry-" + i)
              .setDataCentre("dc-" + i % 12)
              .setPeerAddress("10.0.0." + i + ":7000")
              .setHttpAddress("10.0.0." + i + ":8000")
              .build();
      records.add(record("member-" + i).setMemberJoined(joined).build());
    }
    FleetPatch.Builder patch =
        FleetPatch.newBuilder().setPatchId("first").setOperatorName("bootstrap").setBaseVersion(0);
    patch.addChanges(change("fleet", "", "company", "measured"));
    patch.addChanges(change("operator", "operator", "digest", "sha256:" + "0".repeat(64)));
    patch.addChanges(change("operator", "operator", "rights", "patch"));
    for (int i = 0; i < pools; i++) {
      patch.addChanges(change("pool", "pool-" + i, "kind", "worker"));
      patch.addChanges(change("pool", "pool-" + i, "size", "15"));
    }
    for (int i = 0; i < teams; i++) {
      patch.addChanges(change("team", "team-" + i, "share", "1"));
      patch.addChanges(change("team", "team-" + i, "cap", "200"));
    }
    records.add(record("patch-1").setPatch(patch).build());
    return records;
  }

  private static SettingChange change(String kind, String name, String key, String value) {
    return SettingChange.newBuilder()
        .setSectionKind(kind)
        .setSectionName(name)
        .setKey(key)
        .setValue(value)
        .build();
  }

  static LogRecord job(int number, int pools, int teams) {
    JobSubmitted job =
        JobSubmitted.newBuilder()
            .setJob("job-" + number)
            .setTeam("team-" + number % teams)
            .setPool("pool-" + number % pools)
            .setDeclared(amount(4_000, 8_192))
            .setDeclaredRunMilliseconds(60_000)
            .setIdempotent(true)
            .setPayload(ByteString.copyFrom(new byte[PAYLOAD_BYTES]))
            .build();
    return record("job-record-" + number).setJobSubmitted(job).build();
  }

  static LogRecord instance(int number, int pools) {
    InstanceObserved observed =
        InstanceObserved.newBuilder()
            .setInstance("worker-" + number)
            .setKind(InstanceKind.INSTANCE_WORKER)
            .setState(InstanceState.INSTANCE_LIVE)
            .setDataCentre("dc-" + number % 12)
            .setRack("rack-" + number / 4)
            .setFirstPool("pool-" + number % pools)
            .setAddress("10.1." + number / 250 + "." + number % 250 + ":9000")
            .setCapacity(amount(64_000, 131_072))
            .build();
    return record("instance-record-" + number).setInstanceObserved(observed).build();
  }

  static LogRecord claim(int number, int teams) {
    IdempotencyClaimed claim =
        IdempotencyClaimed.newBuilder()
            .setTeam("team-" + number % teams)
            .setIdempotencyKey("key-" + number)
            .setIncarnation(WRITER)
            .setRequestDigest("0123456789abcdef0123456789abcdef")
            .build();
    return record("claim-record-" + number).setIdempotencyClaimed(claim).build();
  }

  static LogRecord patch(int number) {
    FleetPatch patch =
        FleetPatch.newBuilder()
            .setPatchId("patch-" + number)
            .setOperatorName("operator")
            .setBaseVersion(number)
            .addChanges(change("team", "team-0", "share", Integer.toString(2 + number % 7)))
            .build();
    return record("patch-record-" + number).setPatch(patch).build();
  }

  private static ResourceAmount amount(int processors, int memory) {
    return ResourceAmount.newBuilder()
        .setProcessorMillicores(processors)
        .setMemoryMebibytes(memory)
        .build();
  }

  private static LogRecord.Builder record(String id) {
    return LogRecord.newBuilder().setRecordId(id).setFormatVersion(1).setWriter(WRITER);
  }
}
