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

/** An in-memory log with latency, outages, lost replies, duplicated appends and retention. */
public final class FakeLog {

  private static final Duration TIMEOUT = Duration.ofMillis(500);

  private final VirtualTimers clock;
  private final List<StoredRecord> records = new ArrayList<>();
  private long latencyMilliseconds = 1;
  private long earliestOffset;
  private int lostReplies;
  private int duplicatedAppends;
  private int lostAppends;
  private boolean down;
  private boolean refusing;

  /** Creates an empty log. */
  public FakeLog(VirtualTimers clock) {
    this.clock = clock;
  }

  /** Returns the connection of one process to the log. */
  public Connection connect(PausableTimers process) {
    return new Connection(process);
  }

  /** Sets whether all calls time out. */
  public void setDown(boolean value) {
    down = value;
  }

  /** Sets whether the log refuses all appends without storing the records. */
  public void setRefusing(boolean value) {
    refusing = value;
  }

  /** Sets the one-way latency. */
  public void setLatencyMilliseconds(long value) {
    latencyMilliseconds = value;
  }

  /** Loses the replies to the next appends, which take effect. */
  public void loseReplies(int count) {
    lostReplies = count;
  }

  /** Loses the next appends in transit, so that they have neither effect nor reply. */
  public void loseAppends(int count) {
    lostAppends = count;
  }

  /** Stores the next appends twice. */
  public void duplicateAppends(int count) {
    duplicatedAppends = count;
  }

  /** Lets all records before the offset expire, so that they cannot be read. */
  public void expireBefore(long offset) {
    earliestOffset = offset;
  }

  /** Returns all records ever stored, including expired ones. */
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

  /** The connection of one process to the log; each can be disconnected separately. */
  public final class Connection implements PlatformLog {

    private final PausableTimers process;
    private boolean disconnected;

    private Connection(PausableTimers process) {
      this.process = process;
    }

    /** Disconnects the process from the log, or connects it again. */
    public void setDisconnected(boolean value) {
      disconnected = value;
    }

    @Override
    public CompletableFuture<Either<PlatformError, Long>> append(List<byte[]> bytes) {
      CompletableFuture<Either<PlatformError, Long>> reply = new CompletableFuture<>();
      clock.schedule(Duration.ofMillis(latencyMilliseconds), () -> handleAppend(bytes, reply));
      return reply;
    }

    private void handleAppend(
        List<byte[]> bytes, CompletableFuture<Either<PlatformError, Long>> reply) {
      if (down || disconnected) {
        sendReply(reply, TIMEOUT, Either.left(new PlatformError.Unknown("timeout")));
        return;
      }
      if (lostAppends > 0) {
        lostAppends--;
        sendReply(reply, TIMEOUT, Either.left(new PlatformError.Unknown("append lost")));
        return;
      }
      if (refusing) {
        sendReply(reply, Duration.ZERO, Either.left(new PlatformError.Refused("refused")));
        return;
      }
      final long first = records.size();
      store(bytes);
      if (duplicatedAppends > 0) {
        duplicatedAppends--;
        store(bytes);
      }
      if (lostReplies > 0) {
        lostReplies--;
        sendReply(reply, TIMEOUT, Either.left(new PlatformError.Unknown("reply lost")));
        return;
      }
      sendReply(reply, Duration.ofMillis(latencyMilliseconds), Either.right(first));
    }

    @Override
    public CompletableFuture<Either<PlatformError, ReadResponse>> read(long from, int maximum) {
      CompletableFuture<Either<PlatformError, ReadResponse>> reply = new CompletableFuture<>();
      clock.schedule(
          Duration.ofMillis(latencyMilliseconds), () -> handleRead(from, maximum, reply));
      return reply;
    }

    private void handleRead(
        long from, int maximum, CompletableFuture<Either<PlatformError, ReadResponse>> reply) {
      if (down || disconnected) {
        sendReply(reply, TIMEOUT, Either.left(new PlatformError.Unknown("timeout")));
        return;
      }
      Duration latency = Duration.ofMillis(latencyMilliseconds);
      if (from < earliestOffset) {
        sendReply(
            reply, latency, Either.left(new PlatformError.Expired("expired", earliestOffset)));
        return;
      }
      ReadResponse.Builder response =
          ReadResponse.newBuilder().setEarliestOffset(earliestOffset).setNextOffset(records.size());
      for (long i = from; i < records.size() && response.getRecordsCount() < maximum; i++) {
        response.addRecords(records.get((int) i));
      }
      sendReply(reply, latency, Either.right(response.build()));
    }

    private <T> void sendReply(CompletableFuture<T> reply, Duration delay, T value) {
      clock.schedule(delay, () -> process.runOrDefer(() -> reply.complete(value)));
    }
  }
}
