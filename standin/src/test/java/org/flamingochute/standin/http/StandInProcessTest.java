package org.flamingochute.standin.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;

import com.google.protobuf.ByteString;
import com.google.protobuf.util.JsonFormat;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.schema.AppendRequest;
import org.flamingochute.schema.AppendResponse;
import org.flamingochute.schema.EndpointReport;
import org.flamingochute.schema.InstanceListing;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.ReadResponse;
import org.flamingochute.schema.StandInEndpointSection;
import org.flamingochute.schema.StandInPlatformSection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests both stand-in processes over HTTP, including faulty responses of runners. */
class StandInProcessTest {

  private final HttpClient client = HttpClient.newHttpClient();
  private PlatformStandIn platform;
  private EndpointStandIn endpoints;

  @BeforeEach
  void startProcesses() throws Exception {
    platform =
        PlatformStandIn.start(
            StandInPlatformSection.newBuilder()
                .setAddress("127.0.0.1:0")
                .setRetainedRecords(3)
                .build());
    endpoints =
        EndpointStandIn.start(
            StandInEndpointSection.newBuilder()
                .setAddress("127.0.0.1:0")
                .setPlatformAddress(platform.address())
                .setRunnerPools("quotes:2")
                .setWorkerPools("prints:5")
                .setThreads(1)
                .setSlots(1)
                .setWorkerProcessors(4)
                .setWorkerMemoryMebibytes(1000)
                .build());
  }

  @AfterEach
  void stopProcesses() {
    endpoints.close();
    platform.close();
  }

  private HttpResponse<byte[]> sendRequest(String method, String address, String path, byte[] body)
      throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
            .header("X-Request-Tag", "t1")
            .header("Flamingochute-Request-Id", "d1")
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
  }

  private String sendForText(String method, String address, String path, String body)
      throws Exception {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return new String(sendRequest(method, address, path, bytes).body(), StandardCharsets.UTF_8);
  }

  private Map<String, ListedInstance> listInstances() throws Exception {
    InstanceListing.Builder listing = InstanceListing.newBuilder();
    JsonFormat.parser().merge(sendForText("GET", platform.address(), "/instances", ""), listing);
    Map<String, ListedInstance> byName = new TreeMap<>();
    listing.getInstancesList().forEach(each -> byName.put(each.getInstance(), each));
    return byName;
  }

  @Test
  void instancesRegisterThemselves() throws Exception {
    Map<String, ListedInstance> instances = listInstances();
    assertThat(
        String.join(" ", instances.keySet()),
        equalTo("prints-0 prints-1 prints-2 prints-3 prints-4 quotes-0 quotes-1"));
    assertThat(instances.get("prints-3").getRack(), equalTo("prints-rack-0"));
    assertThat(instances.get("prints-4").getRack(), equalTo("prints-rack-1"));
  }

  @Test
  void appendedRecordsAreReadUntilTheyExpire() throws Exception {
    AppendRequest.Builder batch = AppendRequest.newBuilder();
    for (int i = 1; i <= 5; i++) {
      batch.addRecords(ByteString.copyFromUtf8("record" + i));
    }
    String address = platform.address();
    byte[] appended =
        sendRequest("POST", address, "/log/append", batch.build().toByteArray()).body();
    assertThat(AppendResponse.parseFrom(appended).getFirstOffset(), equalTo(0L));
    HttpResponse<byte[]> retained =
        sendRequest("GET", address, "/log/records?from=3&maximum=9", new byte[0]);
    ReadResponse read = ReadResponse.parseFrom(retained.body());
    assertThat(read.getRecords(0).getRecord().toStringUtf8(), equalTo("record4"));
    HttpResponse<byte[]> expired =
        sendRequest("GET", address, "/log/records?from=0&maximum=9", new byte[0]);
    assertThat(expired.statusCode(), equalTo(410));
    assertThat(ReadResponse.parseFrom(expired.body()).getEarliestOffset(), equalTo(2L));
  }

  @ParameterizedTest(name = "{0} {1} with body {2} is rejected with {3} and names {4}")
  @CsvSource(
      delimiter = '|',
      value = {
        "POST | /log/append | garbage | 400 | /log/append",
        "GET | /log/records?from=x&maximum=1 | '' | 400 | from",
        "GET | /log/records?from=1 | '' | 400 | maximum",
        "POST | /instances/register | {\"colour\":1} | 400 | colour",
        "POST | /instances/register | {} | 404 | instance",
        "POST | /instances/state | {\"instance\":\"x-9\"} | 404 | x-9",
        "POST | /pools/operations | [ | 400 | /pools/operations",
        "POST | /faults | {\"logDown\":\"maybe\"} | 400 | maybe",
        "POST | /nowhere | '' | 404 | ''",
      })
  void malformedRequestsAreRejected(
      String method, String path, String body, int status, String expectedText) throws Exception {
    HttpResponse<byte[]> response =
        sendRequest(method, platform.address(), path, body.getBytes(StandardCharsets.UTF_8));
    assertThat(response.statusCode(), equalTo(status));
    assertThat(new String(response.body(), StandardCharsets.UTF_8), containsString(expectedText));
    assertThat(listInstances().size(), equalTo(7));
  }

  @Test
  void runnerAnswersAndReportsRequest() throws Exception {
    String runner = listInstances().get("quotes-0").getAddress();
    HttpResponse<byte[]> response = sendRequest("POST", runner, "/quote", new byte[0]);
    assertThat(response.statusCode(), equalTo(200));
    assertThat(response.headers().firstValue("Flamingochute-Request-Id").orElse(""), equalTo("d1"));
    EndpointReport.Builder report = EndpointReport.newBuilder();
    JsonFormat.parser().merge(sendForText("GET", endpoints.address(), "/report", ""), report);
    assertThat(report.getRequests(0).getTag(), equalTo("t1"));
    assertThat(report.getRequests(0).getEnded(), equalTo(1));
  }

  @Test
  void refusalHasRequestId() throws Exception {
    String runner = listInstances().get("quotes-0").getAddress();
    sendForText("POST", runner, "/standin/power", "{\"on\":false}");
    HttpResponse<byte[]> response = sendRequest("POST", runner, "/quote", new byte[0]);
    assertThat(response.statusCode(), equalTo(503));
    assertThat(response.headers().firstValue("Flamingochute-Outcome").get(), equalTo("not-run"));
    assertThat(response.headers().firstValue("Flamingochute-Request-Id").get(), equalTo("d1"));
  }

  @Test
  void drainListsInstanceAsLeaving() throws Exception {
    sendForText("POST", platform.address(), "/faults", "{\"listLagMilliseconds\":0}");
    String drain = "{\"operation\":\"o1\",\"instance\":\"quotes-0\",\"action\":\"POOL_DRAIN\"}";
    String status = sendForText("POST", platform.address(), "/pools/operations", drain);
    assertThat(status, containsString("\"done\":true"));
    assertThat(listInstances().get("quotes-0").getState().name(), equalTo("INSTANCE_LEAVING"));
  }

  @ParameterizedTest(name = "fault {0} applies to the bytes of the response")
  @CsvSource({"RUNNER_SHORT, 1, end", "RUNNER_TWICE, 2, open", "RUNNER_CROSSED, 1, open"})
  void runnerFaultAppliesToResponseBytes(String kind, int responseCount, String connection)
      throws Exception {
    sendForText(
        "POST", endpoints.address(), "/faults", "{\"endpoints\":[{\"kind\":\"" + kind + "\"}]}");
    String[] address = listInstances().get("quotes-1").getAddress().split(":");
    try (Socket socket =
        new Socket(InetAddress.getByName(address[0]), Integer.parseInt(address[1]))) {
      socket
          .getOutputStream()
          .write(
              "GET / HTTP/1.1\r\nHost: x\r\nX-Request-Tag: t1\r\nX-Answer-Bytes: 40\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      String seen = readUntilTimeout(socket, 500);
      assertThat(seen.split("HTTP/1.1 200", -1).length - 1, equalTo(responseCount));
      assertThat(seen, endsWith(connection));
    }
  }

  private static String readUntilTimeout(Socket socket, int milliseconds) throws Exception {
    socket.setSoTimeout(milliseconds);
    InputStream input = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    byte[] buffer = new byte[4096];
    try {
      while (true) {
        int count = input.read(buffer);
        if (count < 0) {
          return text + "end";
        }
        text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
      }
    } catch (java.net.SocketTimeoutException e) {
      return text + "open";
    }
  }
}
