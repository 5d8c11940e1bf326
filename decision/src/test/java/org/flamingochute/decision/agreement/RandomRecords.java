package org.flamingochute.decision.agreement;

import com.google.protobuf.ByteString;
import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.AttemptResult;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.InstanceMoved;
import org.flamingochute.schema.InstanceStepDone;
import org.flamingochute.schema.InstanceStopRequested;
import org.flamingochute.schema.JobAttemptEnded;
import org.flamingochute.schema.JobAttemptStarted;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.StopPurpose;
import org.flamingochute.schema.StopStep;

/**
 * Generates random records of every kind from the schema. The value of each field is often
 * consistent with the reference state, and sometimes invalid in any state.
 */
final class RandomRecords {

  private static final PoolId PRINTS = new PoolId("prints");
  private static final String[] INVALID_WORDS = {"", "nowhere", "\u0000", "\n", "x".repeat(300)};

  private final UniformRandomProvider random;
  private final AgreedState reference;
  private int nextId;

  RandomRecords(long seed, AgreedState reference) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.reference = reference;
  }

  int nextInt(int bound) {
    return random.nextInt(bound);
  }

  byte[] next() {
    if (random.nextInt(50) == 0) {
      byte[] noise = new byte[random.nextInt(40)];
      random.nextBytes(noise);
      return noise;
    }
    LogRecord.Builder record = LogRecord.newBuilder();
    List<FieldDescriptor> bodies = LogRecord.getDescriptor().getOneofs().get(0).getFields();
    FieldDescriptor body = bodies.get(random.nextInt(bodies.size()));
    boolean isRemoval =
        body.getName().equals("member_gone") || body.getName().equals("member_left");
    if (isRemoval && random.nextInt(4) > 0) {
      body = LogRecord.getDescriptor().findFieldByName("member_joined");
    }
    record.setField(body, message(record.newBuilderForField(body)));
    if (random.nextBoolean()) {
      adaptToState(record);
    }
    record.setRecordId("r" + (random.nextInt(20) == 0 ? random.nextInt(1 + nextId) : nextId++));
    record.setFormatVersion(random.nextInt(50) == 0 ? 2 : 1);
    return record.build().toByteArray();
  }

  /** Makes a record that depends on several earlier ones consistent with the state. */
  private void adaptToState(LogRecord.Builder record) {
    switch (record.getBodyCase()) {
      case JOB_ATTEMPT_STARTED -> adaptStart(record.getJobAttemptStartedBuilder());
      case JOB_ATTEMPT_ENDED -> adaptEnd(record.getJobAttemptEndedBuilder());
      case INSTANCE_MOVED -> adaptMove(record.getInstanceMovedBuilder());
      case INSTANCE_STOP_REQUESTED -> adaptStop(record.getInstanceStopRequestedBuilder());
      case INSTANCE_STEP_DONE -> adaptStep(record.getInstanceStepDoneBuilder());
      default -> {
        // Records that depend on few earlier ones are consistent often enough by chance.
      }
    }
  }

  private void adaptStart(JobAttemptStarted.Builder start) {
    for (JobImage job : reference.jobs(PRINTS, JobPhase.JOB_WAITING)) {
      start.setJob(job.getSubmitted().getJob()).setAttempt(job.getAttempts() + 1);
    }
    reference
        .placer(PRINTS)
        .ifPresent(
            placer ->
                start.setIncarnation(placer.getIncarnation()).setPlacerEpoch(placer.getEpoch()));
  }

  private void adaptEnd(JobAttemptEnded.Builder end) {
    for (JobImage job : reference.jobs(PRINTS, JobPhase.JOB_RUNNING)) {
      end.setJob(job.getSubmitted().getJob())
          .setAttempt(job.getAttempts())
          .setWorker(job.getWorker());
    }
  }

  private void adaptStop(InstanceStopRequested.Builder stop) {
    for (InstanceImage instance : reference.instances()) {
      if (instance.getObserved().getKind() == InstanceKind.INSTANCE_RUNNER) {
        stop.setInstance(instance.getObserved().getInstance())
            .setPool(instance.getPool())
            .setPurpose(StopPurpose.STOP_FOR_MOVE)
            .setWave("");
      }
    }
  }

  private void adaptStep(InstanceStepDone.Builder step) {
    for (InstanceImage instance : reference.instances()) {
      if (instance.hasStop()) {
        step.setInstance(instance.getObserved().getInstance())
            .setOperation(instance.getStop().getOperation());
        if (instance.getLastStep() == StopStep.STOP_STEP_UNSPECIFIED) {
          step.setStep(StopStep.STOP_DRAINED);
        }
      }
    }
  }

  private void adaptMove(InstanceMoved.Builder move) {
    for (InstanceImage instance : reference.instances()) {
      if (instance.getLastStep() == StopStep.STOP_DRAINED) {
        move.setInstance(instance.getObserved().getInstance())
            .setOperation(instance.getStop().getOperation())
            .setFromPool(instance.getPool());
      }
    }
  }

  private Message message(Message.Builder builder) {
    for (FieldDescriptor field : builder.getDescriptorForType().getFields()) {
      if (field.isRepeated()) {
        for (int i = random.nextInt(3); i >= 0; i--) {
          builder.addRepeatedField(field, value(builder, field));
        }
      } else if (random.nextInt(20) > 0) {
        builder.setField(field, value(builder, field));
      }
    }
    return builder.build();
  }

  private Object value(Message.Builder builder, FieldDescriptor field) {
    return switch (field.getJavaType()) {
      case STRING -> random.nextInt(30) == 0 ? oneOf(INVALID_WORDS) : word(field.getName());
      case INT -> (int) number(field.getName());
      case LONG -> number(field.getName());
      case BOOLEAN -> random.nextBoolean();
      case ENUM -> enumValue(field);
      case MESSAGE -> message(builder.newBuilderForField(field));
      case BYTE_STRING -> ByteString.copyFromUtf8("bytes");
      default -> field.getDefaultValue();
    };
  }

  private EnumValueDescriptor enumValue(FieldDescriptor field) {
    if (field.getEnumType().equals(AttemptResult.getDescriptor()) && random.nextBoolean()) {
      return AttemptResult.ATTEMPT_FAILED.getValueDescriptor();
    }
    List<EnumValueDescriptor> values = field.getEnumType().getValues();
    return values.get(random.nextInt(values.size()));
  }

  private String word(String field) {
    return switch (field) {
      case "incarnation" ->
          reference.members().isEmpty() || random.nextInt(3) == 0
              ? "m" + random.nextInt(40)
              : reference
                  .members()
                  .get(random.nextInt(reference.members().size()))
                  .getJoined()
                  .getIncarnation();
      case "team" -> "shop";
      case "pool", "from_pool" -> oneOf("prints", "prints", "prints", "quotes", "@maintenance");
      case "first_pool" -> "prints";
      case "target_pool", "to_pool" -> "spare";
      case "job", "jobs" -> oneOf("j1", "j2", "j3");
      case "worker", "instance" -> oneOf("w1", "w2", "w3", "w4", "w5", "w6");
      case "operation" -> oneOf("o1", "o2");
      case "wave" -> oneOf("", "winter");
      case "operator_name" -> "ana";
      case "section_kind" -> oneOf("team", "pool");
      case "section_name" -> "presses";
      case "key" -> oneOf("cap", "size", "kind");
      case "value" -> oneOf("1", "5", "9", "worker");
      case "patch_id" -> "p" + nextId;
      case "idempotency_key" -> "k" + random.nextInt(3);
      default -> "text";
    };
  }

  private String oneOf(String... words) {
    return words[random.nextInt(words.length)];
  }

  private long number(String field) {
    if (random.nextInt(40) == 0) {
      return random.nextBoolean() ? Integer.MIN_VALUE : Integer.MAX_VALUE;
    }
    return switch (field) {
      case "epoch", "escrow_epoch" ->
          reference.escrow(new TeamId("shop")).map(escrow -> escrow.getEpoch()).orElse(0L);
      case "base_version" -> reference.description().getVersion();
      case "as_of_milliseconds" -> reference.timeMilliseconds();
      default -> random.nextInt(3);
    };
  }
}
