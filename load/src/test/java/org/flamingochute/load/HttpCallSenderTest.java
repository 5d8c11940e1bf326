package org.flamingochute.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.http.ConnectionId;
import org.flamingochute.platform.http.ExchangeResult;
import org.flamingochute.platform.http.UnknownCause;
import org.flamingochute.schema.CallKind;
import org.flamingochute.standin.TaggedBody;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the outcomes of attempts for each kind of response and failure. */
class HttpCallSenderTest {

  private static final Call CALL =
      new Call("t1", CallKind.CALL_INTERACTIVE, "quotes", "rosario", "", 40, 1000);

  @ParameterizedTest(name = "status {0}, outcome {1}, response to {2} is {3}")
  @CsvSource({
    "200, answered, t1, 'Answered[status=200, complete=true]'",
    "200, answered, t2, 'Answered[status=200, complete=false]'",
    "200, '', t1, 'Answered[status=200, complete=true]'",
    "503, not-run, '', 'NotRun[status=503]'",
    "429, not-run, '', 'NotRun[status=429]'",
    "504, unknown, '', 'Unknown[status=504, detail=status 504]'",
    "200, unknown, t1, 'Unknown[status=200, detail=status 200]'",
    "503, '', '', 'Unknown[status=503, detail=status 503]'",
    "409, '', '', 'Unknown[status=409, detail=status 409]'",
  })
  void responseDeterminesOutcome(
      int status, String outcome, String answerTo, String expectedOutcome) {
    List<HeaderField> headers =
        outcome.isEmpty() ? List.of() : List.of(new HeaderField("flamingochute-outcome", outcome));
    byte[] body = answerTo.isEmpty() ? new byte[0] : TaggedBody.create(answerTo, 40);
    AttemptOutcome result =
        HttpCallSender.toOutcome(
            CALL, new ExchangeResult.Answered(status, headers, body, new ConnectionId(1)));
    assertThat(result.toString(), equalTo(expectedOutcome));
  }

  @ParameterizedTest(name = "not run with busy {0} is {1}")
  @CsvSource({"true, 'NotRun[status=503]'", "false, 'NoConnection[detail=x]'"})
  void busyRefusalDiffersFromFailedConnection(boolean busy, String expectedOutcome) {
    AttemptOutcome result = HttpCallSender.toOutcome(CALL, new ExchangeResult.NotRun("x", busy));
    assertThat(result.toString(), equalTo(expectedOutcome));
  }

  @ParameterizedTest(name = "cause {0} is unknown")
  @CsvSource({"CUT", "LATE", "MALFORMED", "CROSSED"})
  void missingResponseHasUnknownOutcome(UnknownCause cause) {
    AttemptOutcome result = HttpCallSender.toOutcome(CALL, new ExchangeResult.Unknown(cause, "x"));
    assertThat(result, equalTo(new AttemptOutcome.Unknown(0, cause + ": x")));
  }
}
