package org.flamingochute.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.flamingochute.platform.Timers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RealTimersTest {
  private final Counter failures = new Counter();
  private final RealTimers timers = new RealTimers(failures);

  @AfterEach
  void close() {
    timers.close();
  }

  @Test
  void tasksRunAlsoAfterOneThatThrew() throws Exception {
    CountDownLatch done = new CountDownLatch(2);
    timers.schedule(
        Duration.ZERO,
        () -> {
          done.countDown();
          throw new IllegalStateException("broken");
        });
    timers.schedule(Duration.ofMillis(5), done::countDown);
    done.await();
    CountDownLatch later = new CountDownLatch(1);
    timers.schedule(Duration.ofMillis(5), later::countDown);
    later.await();
    assertThat(failures.getCount(), equalTo(1L));
  }

  @Test
  void cancelledTaskDoesNotRun() throws Exception {
    AtomicBoolean ran = new AtomicBoolean();
    Timers.Cancellation cancellation = timers.schedule(Duration.ofMillis(50), () -> ran.set(true));
    cancellation.cancel();
    CountDownLatch later = new CountDownLatch(1);
    timers.schedule(Duration.ofMillis(100), later::countDown);
    later.await();
    assertThat(ran.get(), is(false));
  }

  @Test
  void nothingIsScheduledAfterTheEnd() {
    timers.close();
    timers.schedule(Duration.ZERO, () -> {}).cancel();
    assertThat(failures.getCount(), equalTo(0L));
  }
}
