package org.flamingochute.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import com.google.protobuf.util.JsonFormat;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.PlatformReport;
import org.flamingochute.schema.StandInEndpointSection;
import org.flamingochute.schema.StandInPlatformSection;
import org.flamingochute.standin.http.EndpointStandIn;
import org.flamingochute.standin.http.PlatformStandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the load tool directly against a stand-in runner, without an entry. */
class LoadProcessTest {
  /** Time for three requests, one after the other, also on a machine that is busy. */
  private static final long DURATION_MILLISECONDS = 5_000;

  private static final String LOOPBACK = "127.0.0.1:0";

  private final HttpClient client = HttpClient.newHttpClient();

  private String post(String address, String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  private String runnerAddress(String platform) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + platform + "/report")).build();
    String report = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    PlatformReport.Builder parsed = PlatformReport.newBuilder();
    JsonFormat.parser().merge(report, parsed);
    ListedInstance runner = parsed.getInstances(0);
    return runner.getAddress();
  }

  @ParameterizedTest(name = "with fault {0} the load tool exits with {1} and prints {2}")
  @CsvSource({
    "ENDPOINT_FAULT_UNSPECIFIED, 0, unknown=0 crossed=0",
    "RUNNER_CROSSED, 1, unknown=0 crossed=3",
    "RUNNER_SHORT, 0, unknown=3 crossed=0",
  })
  void runnerFaultsAreCounted(String kind, int exitCode, String text) throws Exception {
    try (PlatformStandIn platform =
            PlatformStandIn.start(
                StandInPlatformSection.newBuilder()
                    .setAddress(LOOPBACK)
                    .setRetainedRecords(10)
                    .build());
        EndpointStandIn endpoints =
            EndpointStandIn.start(
                StandInEndpointSection.newBuilder()
                    .setAddress(LOOPBACK)
                    .setPlatformAddress(platform.address())
                    .setRunnerPools("quotes:1")
                    .setThreads(1)
                    .setSlots(4)
                    .build())) {
      String fault = "{\"endpoints\":[{\"kind\":\"" + kind + "\",\"count\":3}]}";
      post(endpoints.address(), "/faults", fault);
      ByteArrayOutputStream output = new ByteArrayOutputStream();
      PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
      String[] arguments = {
        "throughput",
        "--direct",
        runnerAddress(platform.address()),
        "--concurrency",
        "1",
        "--duration-milliseconds",
        Long.toString(DURATION_MILLISECONDS)
      };
      assertThat(LoadMain.run(arguments, stream, stream), equalTo(exitCode));
      assertThat(output.toString(StandardCharsets.UTF_8), containsString(text));
    }
  }
}
