package org.flamingochute.decision.agreement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.notNullValue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.flamingochute.schema.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a state that depends on anything but the records: a state restored from an image
 * must continue like the original one. Also guards against records that cannot be processed.
 */
class ApplyDeterminismTest {

  private static final int RECORDS = 1500;
  private static final int IMAGE_INTERVAL = 100;
  private static final long NEGATIVE_TIME = -5;

  private record StoredRecord(long timeMilliseconds, byte[] bytes) {}

  private static List<StoredRecord> records(long seed) {
    AgreedState reference = AgreedState.empty();
    final RandomRecords random = new RandomRecords(seed, reference);
    List<StoredRecord> records = new ArrayList<>();
    long time = 1000;
    records.add(new StoredRecord(time, encodeWithId(LogFixture.join("m1"))));
    records.add(new StoredRecord(time, encodeWithId(LogFixture.join("m2"))));
    records.add(new StoredRecord(time, encodeWithId(LogFixture.firstPatch())));
    while (records.size() < RECORDS) {
      applyAll(reference, records);
      time += random.nextInt(random.nextInt(100) == 0 ? 3_000_000 : 3_000);
      boolean isInvalidTime = random.nextInt(100) == 0;
      records.add(new StoredRecord(isInvalidTime ? NEGATIVE_TIME : time, random.next()));
    }
    return records;
  }

  private static byte[] encodeWithId(LogRecord.Builder record) {
    return record
        .setRecordId("first-" + record.getBodyCase() + record.hashCode())
        .build()
        .toByteArray();
  }

  private static void applyAll(AgreedState state, List<StoredRecord> records) {
    for (int offset = (int) state.offset() + 1; offset < records.size(); offset++) {
      StoredRecord record = records.get(offset);
      ApplyResult result = state.apply(offset, record.timeMilliseconds(), record.bytes());
      assertThat(result, notNullValue());
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void imageAndLaterRecordsGiveSameStateAsAllRecords(long seed) {
    List<StoredRecord> records = records(seed);
    AgreedState full = AgreedState.empty();
    applyAll(full, records);
    byte[] expected = ImageCodec.encode(full.image());
    for (int end = IMAGE_INTERVAL; end < RECORDS; end += IMAGE_INTERVAL) {
      AgreedState prefix = AgreedState.empty();
      applyAll(prefix, records.subList(0, end));
      AgreedState resumed = AgreedState.empty();
      byte[] bytes = ImageCodec.encode(prefix.image());
      resumed.replaceWith(ImageCodec.decode(0, bytes).get());
      assertThat(ImageCodec.encode(resumed.image()), equalTo(bytes));
      applyAll(resumed, records);
      assertThat(ImageCodec.encode(resumed.image()), equalTo(expected));
    }
  }

  @Test
  void randomRecordsOfEveryKindAreAccepted() {
    Set<LogRecord.BodyCase> accepted = EnumSet.noneOf(LogRecord.BodyCase.class);
    for (long seed = 1; seed <= 6; seed++) {
      AgreedState state = AgreedState.empty();
      state.addListener(
          new AgreementListener() {
            @Override
            public void recordApplied(long offset, LogRecord record, ApplyResult result) {
              if (result instanceof ApplyResult.Accepted) {
                accepted.add(record.getBodyCase());
              }
            }
          });
      applyAll(state, records(seed));
    }
    assertThat(
        EnumSet.complementOf(EnumSet.copyOf(accepted)),
        equalTo(EnumSet.of(LogRecord.BodyCase.BODY_NOT_SET)));
  }

  @Test
  void recordsAtUnexpectedOffsetsAreNotApplied() {
    LogFixture log = LogFixture.withFleet();
    byte[] record = encodeWithId(LogFixture.join("c"));
    assertThat(log.state.apply(1, 0, record), instanceOf(ApplyResult.Duplicate.class));
    assertThat(log.state.apply(9, 0, record), instanceOf(ApplyResult.Unreadable.class));
    assertThat(log.state.offset(), equalTo(2L));
  }
}
