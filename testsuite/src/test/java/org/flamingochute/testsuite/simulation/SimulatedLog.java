package org.flamingochute.testsuite.simulation;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.schema.ReadResponse;
import org.flamingochute.schema.StoredRecord;

/**
 * Simulates the platform's log with its faults: unavailability, delays, lost responses to stored
 * appends, duplicated appends and expired records.
 */
public final class SimulatedLog {

  private static final long TIMEOUT_MILLISECONDS = 2_000;

  private final VirtualClock clock;
  private final NetworkConditions network;
  private final List<StoredRecord> records = new ArrayList<>();
  private long earliestOffset;
  private long maximumRetainedRecords = Long.MAX_VALUE;
  private boolean isDown;
  private long delayMilliseconds;
  private int responsesToDrop;
  private int appendsToDuplicate;

  /** Creates an empty log. */
  public SimulatedLog(VirtualClock clock, NetworkConditions network) {
    this.clock = clock;
    this.network = network;
  }

  /** Sets whether the log is unavailable. */
  public void setDown(boolean down) {
    isDown = down;
  }

  /** Sets the additional delay of each call in milliseconds. */
  public void setDelay(long milliseconds) {
    delayMilliseconds = milliseconds;
  }

  /** Drops the responses to the next appends, whose records are stored nevertheless. */
  public void dropResponses(int count) {
    responsesToDrop = count;
  }

  /** Stores the records of the next appends twice. */
  public void duplicateAppends(int count) {
    appendsToDuplicate = count;
  }

  /** Limits the number of retained records to the given count. */
  public void limitRetention(long count) {
    maximumRetainedRecords = count;
    removeExpiredRecords();
  }

  /** Returns all retained records. */
  public List<StoredRecord> records() {
    return List.copyOf(records);
  }

  /** Appends a record immediately, as a writer other than the entries, and returns its offset. */
  public long appendDirectly(byte[] record) {
    return store(List.of(record));
  }

  /** Returns the log client of a process. */
  public PlatformLog clientFor(SimulatedProcess process) {
    return new ProcessLog(process);
  }

  private long store(List<byte[]> appended) {
    long first = earliestOffset + records.size();
    long offset = first;
    for (byte[] record : appended) {
      records.add(
          StoredRecord.newBuilder()
              .setOffset(offset)
              .setAppendTimeMilliseconds(clock.wallMilliseconds())
              .setRecord(ByteString.copyFrom(record))
              .build());
      offset++;
    }
    removeExpiredRecords();
    return first;
  }

  private void removeExpiredRecords() {
    while (records.size() > maximumRetainedRecords) {
      records.remove(0);
      earliestOffset++;
    }
  }

  private Either<PlatformError, ReadResponse> readNow(long fromOffset, int maximumRecords) {
    if (fromOffset < earliestOffset) {
      return Either.left(
          new PlatformError.Expired("offset " + fromOffset + " has expired", earliestOffset));
    }
    int begin = (int) Math.min(records.size(), fromOffset - earliestOffset);
    int end = Math.min(records.size(), begin + maximumRecords);
    return Either.right(
        ReadResponse.newBuilder()
            .addAllRecords(records.subList(begin, end))
            .setEarliestOffset(earliestOffset)
            .setNextOffset(earliestOffset + records.size())
            .build());
  }

  private final class ProcessLog implements PlatformLog {

    private final SimulatedProcess process;

    ProcessLog(SimulatedProcess process) {
      this.process = process;
    }

    @Override
    public CompletableFuture<Either<PlatformError, Long>> append(List<byte[]> appended) {
      CompletableFuture<Either<PlatformError, Long>> result = new CompletableFuture<>();
      List<byte[]> copies = List.copyOf(appended);
      process.runAfter(
          TIMEOUT_MILLISECONDS,
          () -> result.complete(Either.left(new PlatformError.Unknown("append timed out"))));
      if (network.isConnected(process.name(), NetworkConditions.LOG)) {
        clock.runAfter(requestLatency(), () -> appendAtLog(copies, result));
      }
      return result;
    }

    private void appendAtLog(
        List<byte[]> appended, CompletableFuture<Either<PlatformError, Long>> result) {
      if (isDown) {
        return;
      }
      long offset = store(appended);
      if (appendsToDuplicate > 0) {
        appendsToDuplicate--;
        store(appended);
      }
      if (responsesToDrop > 0) {
        responsesToDrop--;
        return;
      }
      sendResponse(() -> result.complete(Either.right(offset)));
    }

    @Override
    public CompletableFuture<Either<PlatformError, ReadResponse>> read(
        long fromOffset, int maximumRecords) {
      CompletableFuture<Either<PlatformError, ReadResponse>> result = new CompletableFuture<>();
      process.runAfter(
          TIMEOUT_MILLISECONDS,
          () -> result.complete(Either.left(new PlatformError.Unknown("read timed out"))));
      if (network.isConnected(process.name(), NetworkConditions.LOG)) {
        clock.runAfter(requestLatency(), () -> readAtLog(fromOffset, maximumRecords, result));
      }
      return result;
    }

    private void readAtLog(
        long fromOffset,
        int maximumRecords,
        CompletableFuture<Either<PlatformError, ReadResponse>> result) {
      if (isDown) {
        return;
      }
      Either<PlatformError, ReadResponse> response = readNow(fromOffset, maximumRecords);
      sendResponse(() -> result.complete(response));
    }

    private void sendResponse(Runnable completion) {
      if (network.isConnected(NetworkConditions.LOG, process.name())) {
        process.runAfter(
            network.latencyMilliseconds(NetworkConditions.LOG, process.name()), completion);
      }
    }

    private long requestLatency() {
      return delayMilliseconds + network.latencyMilliseconds(process.name(), NetworkConditions.LOG);
    }
  }
}
