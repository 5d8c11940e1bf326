package org.flamingochute.node.front;

import static org.flamingochute.node.front.JobServletFixture.JOB;
import static org.flamingochute.node.front.JobServletFixture.OTHER_JOB;
import static org.flamingochute.node.front.JobServletFixture.TIMEOUT_MILLISECONDS;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against UNASKED: a cancellation is acknowledged with 410, and the job is stored afterwards
 * by an append that was under way, and runs.
 */
class UnknownJobCancellationTest {
  private static final QueuedJob DEFINITION =
      QueuedJob.newBuilder().setQueue("q").setOrganisation("t").build();

  private JobServletFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new JobServletFixture();
    fixture.loadJobs();
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private int call(String method, StoreClient store, JobId job, long timeoutMilliseconds)
      throws Exception {
    JobServlet servlet = fixture.servletWith(store, Optional.empty());
    return fixture.call(method, servlet, job, timeoutMilliseconds).statusCode();
  }

  private int call(String method, JobId job) throws Exception {
    return call(method, fixture.store(), job, TIMEOUT_MILLISECONDS);
  }

  private String phaseOf(JobId job) throws Exception {
    JobServlet servlet = fixture.servletWith(fixture.store(), Optional.empty());
    return fixture.call("GET", servlet, job, TIMEOUT_MILLISECONDS).body();
  }

  /** The append of another node, which got no response there, is executed after the answer. */
  @Test
  void jobStoredAfterTheAnswerIsCancelled() throws Exception {
    assertThat(call("DELETE", JOB), is(410));
    fixture.append(new KeyedValue(ScheduleKeys.job(JOB), DEFINITION.toByteArray()));
    assertThat(phaseOf(JOB), containsString("cancelled"));
  }

  /** A caller's repeated submission arrives after its cancellation. */
  @Test
  void jobSubmittedAfterTheAnswerIsCancelled() throws Exception {
    assertThat(call("DELETE", JOB), is(410));
    assertThat(call("POST", JOB), is(200));
    assertThat(phaseOf(JOB), containsString("cancelled"));
  }

  /** The cancellation is no job that callers see. */
  @Test
  void cancelledJobThatWasNeverStoredIsUnknown() throws Exception {
    assertThat(call("DELETE", JOB), is(410));
    assertThat(call("GET", JOB), is(410));
    assertThat(call("DELETE", JOB), is(410));
    assertThat(fixture.storedKeys(), is(List.of(ScheduleKeys.cancellation(JOB))));
    assertThat(call("POST", OTHER_JOB), is(200));
    assertThat(call("GET", OTHER_JOB), is(200));
  }

  /** Without a stored cancellation nothing is promised. */
  @ParameterizedTest
  @ValueSource(longs = {200, 400})
  void cancellationThatMayNotBeStoredIsNotAcknowledged(long timeoutMilliseconds) throws Exception {
    assertThat(call("DELETE", fixture.silentStore(), JOB, timeoutMilliseconds), is(504));
  }

  /** Callers that cancel jobs that do not exist must not fill the store. */
  @ParameterizedTest
  @CsvSource({"19999, 410", "20000, 503"})
  void cancellationsOfUnknownJobsAreLimited(int earlierCancellations, int status) throws Exception {
    fixture
        .loop()
        .execute(
            () -> {
              for (int i = 0; i < earlierCancellations; i++) {
                fixture.state().applyCancellation(new JobId("%016x".formatted(0xb0000 + i)));
              }
            });
    JobServlet servlet = fixture.servletWith(fixture.store(), Optional.empty());
    HttpResponse<String> response = fixture.call("DELETE", servlet, JOB, TIMEOUT_MILLISECONDS);
    assertThat(response.statusCode(), is(status));
    assertThat(
        response.headers().firstValue("Retry-After").orElse(""), is(status == 503 ? "10" : ""));
    assertThat(fixture.storedKeys().contains(ScheduleKeys.cancellation(JOB)), is(status == 410));
  }
}
