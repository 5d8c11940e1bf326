import java.util.ArrayList;
import java.util.List;

/** All runs, as the runners saw them. */
final class Ledger {
  final class Entry {
    final String task;
    final int attempt;
    final String runner;
    final long startedAt = System.currentTimeMillis();
    private long endedAt = Long.MAX_VALUE;

    Entry(String task, int attempt, String runner) {
      this.task = task;
      this.attempt = attempt;
      this.runner = runner;
    }

    void end(String how) {
      synchronized (Ledger.this) {
        endedAt = System.currentTimeMillis();
      }
      record.line("run of " + task + " attempt " + attempt + " on " + runner + " ends: " + how);
    }

    String job() {
      return task.substring(0, task.indexOf('.'));
    }
  }

  private final Record record;
  private final List<Entry> entries = new ArrayList<>();

  Ledger(Record record) {
    this.record = record;
  }

  synchronized Entry start(String task, int attempt, String runner, long born) {
    Entry entry = new Entry(task, attempt, runner + "@" + born);
    record.line("run of " + task + " attempt " + attempt + " starts on " + entry.runner);
    entries.add(entry);
    return entry;
  }

  synchronized long startsOf(String job) {
    return entries.stream().filter(entry -> entry.job().equals(job)).count();
  }

  /** Returns how many pairs of runs of one task overlapped by more than a millisecond, and records each. */
  synchronized int overlaps() {
    int count = 0;
    for (int i = 0; i < entries.size(); i++) {
      for (int j = i + 1; j < entries.size(); j++) {
        Entry a = entries.get(i);
        Entry b = entries.get(j);
        long both = Math.min(a.endedAt, b.endedAt) - Math.max(a.startedAt, b.startedAt);
        if (a.task.equals(b.task) && both > 1) {
          count++;
          String length = both > 1_000_000 ? "until now" : "for " + both + " ms";
          record.line("TWICE: " + a.task + " attempt " + a.attempt + " on " + a.runner + " and attempt " + b.attempt + " on " + b.runner + " at the same time " + length);
        }
      }
    }
    return count;
  }
}
