package org.flamingochute.node.front;

import static org.flamingochute.node.front.JobServletFixture.JOB;
import static org.flamingochute.node.front.JobServletFixture.OTHER_JOB;
import static org.flamingochute.node.front.JobServletFixture.TIMEOUT_MILLISECONDS;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which submissions a node refuses while their pool is overloaded. */
class JobRefusalTest {
  private JobServletFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new JobServletFixture();
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private JobServlet servlet(StoreClient appendedTo) {
    return fixture.servletWith(appendedTo, Optional.of(fixture.shedding()));
  }

  /** The team has submitted the job of this second, and its pool is overloaded. */
  private void overload() {
    QueuedJob earlier =
        QueuedJob.newBuilder()
            .setQueue("q")
            .setOrganisation("t")
            .setAcceptedMilliseconds(fixture.clock().wallClockMilliseconds())
            .build();
    fixture
        .loop()
        .execute(
            () -> {
              fixture.state().applyJob(new JobId("00000000000000e1"), earlier);
              fixture
                  .shedding()
                  .onLoadRead(FleetLoad.newBuilder().putWaitMilliseconds("p", 60_000).build(), 0);
            });
  }

  private static String retryAfterOf(HttpResponse<String> response) {
    return response.headers().firstValue("Retry-After").orElse("");
  }

  /** Guards against a job that is refused and stored nevertheless, so that it runs. */
  @Test
  void refusedJobIsNotStored() throws Exception {
    fixture.loadJobs();
    overload();
    JobServlet servlet = servlet(fixture.store());
    HttpResponse<String> response = fixture.submit(servlet, JOB, TIMEOUT_MILLISECONDS);
    assertThat(response.statusCode(), is(429));
    assertThat(retryAfterOf(response), matchesPattern("[3-5]"));
    fixture.loop().execute(fixture.shedding()::forgetLoad);
    response = fixture.submit(servlet, OTHER_JOB, TIMEOUT_MILLISECONDS);
    assertThat("status without known load", response.statusCode(), is(200));
    assertThat(retryAfterOf(response), is(""));
    assertThat(fixture.storedKeys(), is(List.of(ScheduleKeys.job(OTHER_JOB))));
  }

  /** Guards against a refusal of a job that another node has stored since this node's last read. */
  @Test
  void jobStoredByAnotherNodeIsNotRefused() throws Exception {
    fixture.loadJobs();
    overload();
    QueuedJob stored = QueuedJob.newBuilder().setQueue("q").setOrganisation("t").build();
    fixture.append(new KeyedValue(ScheduleKeys.job(JOB), stored.toByteArray()));
    assertThat(
        fixture.submit(servlet(fixture.store()), JOB, TIMEOUT_MILLISECONDS).statusCode(), is(200));
  }

  /** Guards against a refusal of a job of which an own append may still be executed. */
  @Test
  void jobWhoseAppendGotNoResponseIsNotRefused() throws Exception {
    fixture.loadJobs();
    JobServlet servlet = servlet(fixture.silentStore());
    assertThat(fixture.submit(servlet, JOB, 200).statusCode(), is(504));
    overload();
    assertThat(fixture.submit(servlet, OTHER_JOB, 200).statusCode(), is(429));
    assertThat(fixture.submit(servlet, JOB, 200).statusCode() == 429, is(false));
  }

  /**
   * Guards against the promise "not stored" for a job whose earlier append may still be executed:
   * the repeated call's append waits for the one in progress, and is not sent before its timeout.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void jobWhoseAppendGotNoResponseIsNotReportedAsNotStored(boolean sheds) throws Exception {
    fixture.loadJobs();
    JobServlet servlet =
        fixture.servletWith(
            fixture.silentStore(), sheds ? Optional.of(fixture.shedding()) : Optional.empty());
    assertThat("first call", fixture.submit(servlet, JOB, 200).statusCode(), is(504));
    assertThat("repeated call", fixture.submit(servlet, JOB, 151).statusCode(), is(504));
  }

  /** Guards against the same promise while the store counts as unavailable. */
  @Test
  void unsettledJobIsNotReportedAsNotStoredDuringAnOutage() throws Exception {
    fixture.loadJobs();
    JobServlet servlet = servlet(fixture.silentStore());
    assertThat("first call", fixture.submit(servlet, JOB, 200).statusCode(), is(504));
    int calls = 0;
    String body = "";
    while (!body.contains("the store does not answer")) {
      // Less than the time after which a call probes the store again.
      fixture.clock().advance(400);
      calls++;
      body = fixture.submit(servlet, new JobId("%016x".formatted(calls)), 151).body();
    }
    assertThat("repeated call", fixture.submit(servlet, JOB, 151).statusCode(), is(504));
  }

  /** Guards against a refusal by a node that cannot know whether the job is stored. */
  @Test
  void jobIsNotRefusedIfTheJobsCannotBeRead() throws Exception {
    overload();
    assertThat(
        fixture.submit(servlet(fixture.store()), JOB, TIMEOUT_MILLISECONDS).statusCode(), is(200));
    assertThat(fixture.storedKeys(), is(List.of(ScheduleKeys.job(JOB))));
  }
}
