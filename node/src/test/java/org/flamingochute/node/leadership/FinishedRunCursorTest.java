package org.flamingochute.node.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.junit.jupiter.api.Test;

/**
 * Guards against a finished run that a restarted worker forgets before it is recorded, because it
 * has received an acknowledgement with the number of a run of its former incarnation.
 */
class FinishedRunCursorTest {
  private final FinishedRunCursor cursor = new FinishedRunCursor();

  private static List<FinishedTask> finishedUpTo(long number) {
    TaskId task = new TaskId(new JobId("j"), 0, 0, 0);
    return List.of(new FinishedTask(number, task, 1, EndReason.DONE, ""));
  }

  @Test
  void recordedRunIsAcknowledgedOnce() {
    cursor.onRenewed(FinishedRunCursor.NONE, finishedUpTo(7));
    cursor.onRecorded(7);
    assertThat(cursor.nextAcknowledgement(), is(7L));
    cursor.onRenewed(7, List.of());
    assertThat(cursor.nextAcknowledgement(), is(FinishedRunCursor.NONE));
  }

  @Test
  void runThatIsNotRecordedIsNotAcknowledged() {
    cursor.onRenewed(FinishedRunCursor.NONE, finishedUpTo(7));
    assertThat(cursor.hasUnrecorded(), is(true));
    assertThat(cursor.nextAcknowledgement(), is(FinishedRunCursor.NONE));
  }

  @Test
  void afterFailedRenewalStatusComesBeforeAcknowledgement() {
    cursor.onRenewed(FinishedRunCursor.NONE, finishedUpTo(7));
    cursor.onRecorded(7);
    cursor.onRenewalFailed();
    assertThat(cursor.nextAcknowledgement(), is(FinishedRunCursor.NONE));
    cursor.onRenewed(FinishedRunCursor.NONE, finishedUpTo(7));
    assertThat(cursor.nextAcknowledgement(), is(7L));
  }
}
