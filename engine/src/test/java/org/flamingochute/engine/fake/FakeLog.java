package org.flamingochute.engine.fake;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.schema.ReadResponse;
import org.flamingochute.schema.StoredRecord;

/** The log in memory, with latency, outages, lost replies, repeated appends and retention. */
public final class FakeLog {

  private static final Duration TIMEOUT = Duration.ofMillis(500);

  private final VirtualTimers clock;
  private final List<StoredRecord> records = new ArrayList<>();
  private long latencyMilliseconds = 1;
  private long earliest;
  private int lostReplies;
  private int repeatedAppends;
  private int lostAppends;
  private boolean down;
  private boolean refusing;

  /** Creates an empty log. */
  public FakeLog(VirtualTimers clock) {
    this.clock = clock;
  }

  /** Returns the log as one process reaches it. */
  public View view(PausableTimers process) {
    return new View(process);
  }

  /** Makes the log answer nothing, or answer again. */
  public void setDown(boolean value) {
    down = value;
  }

  /** Makes the log refuse appends without storing anything. */
  public void setRefusing(boolean value) {
    refusing = value;
  }

  /** Sets the one way latency. */
  public void setLatencyMilliseconds(long value) {
    latencyMilliseconds = value;
  }

  /** Loses the replies of the next appends, which take effect. */
  public void loseReplies(int count) {
    lostReplies = count;
  }

  /** Loses the next appends on their way, so that neither effect nor reply comes. */
  public void loseAppends(int count) {
    lostAppends = count;
  }

  /** Stores the next appends twice. */
  public void repeatAppends(int count) {
    repeatedAppends = count;
  }

  /** Drops all records before the offset. */
  public void expireBefore(long offset) {
    earliest = offset;
  }

  /** Returns all records ever stored. */
  public List<StoredRecord> records() {
    return records;
  }

  private void store(List<byte[]> bytes) {
    for (byte[] record : bytes) {
      records.add(
          StoredRecord.newBuilder()
              .setOffset(records.size())
              .setAppendTimeMilliseconds(clock.wallMilliseconds())
              .setRecord(ByteString.copyFrom(record))
              .build());
    }
  }

  /** The log as one process reaches it; it can be cut off alone. */
  public final class View implements PlatformLog {

    private final PausableTimers process;
    private boolean cut;

    private View(PausableTimers process) {
      this.process = process;
    }

    /** Cuts the process off from the log, or connects it again. */
    public void setCut(boolean value) {
      cut = value;
    }

    @Override
    public CompletableFuture<Either<PlatformError, Long>> append(List<byte[]> bytes) {
      CompletableFuture<Either<PlatformError, Long>> reply = new CompletableFuture<>();
      clock.schedule(Duration.ofMillis(latencyMilliseconds), () -> arriveAppend(bytes, reply));
      return reply;
    }

    private void arriveAppend(
        List<byte[]> bytes, CompletableFuture<Either<PlatformError, Long>> reply) {
      if (down || cut) {
        answer(reply, TIMEOUT, Either.left(new PlatformError.Unknown("timeout")));
        return;
      }
      if (lostAppends > 0) {
        lostAppends--;
        answer(reply, TIMEOUT, Either.left(new PlatformError.Unknown("append lost")));
        return;
      }
      if (refusing) {
        answer(reply, Duration.ZERO, Either.left(new PlatformError.Refused("refused")));
        return;
      }
      final long first = records.size();
      store(bytes);
      if (repeatedAppends > 0) {
        repeatedAppends--;
        store(bytes);
      }
      if (lostReplies > 0) {
        lostReplies--;
        answer(reply, TIMEOUT, Either.left(new PlatformError.Unknown("reply lost")));
        return;
      }
      answer(reply, Duration.ofMillis(latencyMilliseconds), Either.right(first));
    }

    @Override
    public CompletableFuture<Either<PlatformError, ReadResponse>> read(long from, int maximum) {
      CompletableFuture<Either<PlatformError, ReadResponse>> reply = new CompletableFuture<>();
      clock.schedule(
          Duration.ofMillis(latencyMilliseconds), () -> arriveRead(from, maximum, reply));
      return reply;
    }

    private void arriveRead(
        long from, int maximum, CompletableFuture<Either<PlatformError, ReadResponse>> reply) {
      if (down || cut) {
        answer(reply, TIMEOUT, Either.left(new PlatformError.Unknown("timeout")));
        return;
      }
      Duration latency = Duration.ofMillis(latencyMilliseconds);
      if (from < earliest) {
        answer(reply, latency, Either.left(new PlatformError.Expired("expired", earliest)));
        return;
      }
      ReadResponse.Builder response =
          ReadResponse.newBuilder().setEarliestOffset(earliest).setNextOffset(records.size());
      for (long i = from; i < records.size() && response.getRecordsCount() < maximum; i++) {
        response.addRecords(records.get((int) i));
      }
      answer(reply, latency, Either.right(response.build()));
    }

    private <T> void answer(CompletableFuture<T> reply, Duration delay, T value) {
      clock.schedule(delay, () -> process.runOrHold(() -> reply.complete(value)));
    }
  }
}
