package org.flamingochute.testsuite.contract;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.InstanceList;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.platform.PoolControl;
import org.flamingochute.platform.WorkerControl;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.HttpEndpointClient;
import org.flamingochute.platform.http.HttpInstanceList;
import org.flamingochute.platform.http.HttpPlatformLog;
import org.flamingochute.platform.http.HttpPoolControl;
import org.flamingochute.platform.http.HttpWorkerControl;
import org.flamingochute.platform.http.LogLimits;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.ResourceAmount;
import org.flamingochute.schema.StandInEndpointSection;
import org.flamingochute.schema.StandInPlatformSection;
import org.flamingochute.schema.TaskPlan;
import org.flamingochute.standin.http.EndpointStandIn;
import org.flamingochute.standin.http.PlatformStandIn;
import org.flamingochute.standin.http.StandInException;

/** The HTTP adapters, connected to the stand-ins on loopback ports. */
final class StandInSubject implements PlatformSubject {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int MAXIMUM_BODY_BYTES = 1_000_000;

  private final EventLoopGroup group = EventLoopGroup.start("contract", 1);
  private final ExchangeClient exchanges =
      new ExchangeClient(
          group,
          ExchangeLimits.builder()
              .maximumConnections(8)
              .maximumQueuedExchanges(8)
              .maximumResponseBytes(MAXIMUM_BODY_BYTES)
              .connectTimeout(TIMEOUT)
              .build(),
          ExchangeListener.NONE);
  private final PlatformStandIn platform;
  private final EndpointStandIn endpoints;

  StandInSubject() {
    try {
      platform =
          PlatformStandIn.start(
              StandInPlatformSection.newBuilder()
                  .setAddress("127.0.0.1:0")
                  .setRetainedRecords(RETAINED_RECORDS)
                  .build());
      endpoints =
          EndpointStandIn.start(
              StandInEndpointSection.newBuilder()
                  .setAddress("127.0.0.1:0")
                  .setPlatformAddress(platform.address())
                  .setRunnerPools("proofs:1")
                  .setWorkerPools("print:1")
                  .setThreads(1)
                  .setSlots(2)
                  .setQueuedRequests(2)
                  .setWorkerProcessors(8)
                  .setWorkerMemoryMebibytes(1_024)
                  .build());
    } catch (StandInException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private NumericAddress platformAddress() {
    return NumericAddress.parse(platform.address()).get();
  }

  @Override
  public PlatformLog log() {
    return new HttpPlatformLog(exchanges, platformAddress(), TIMEOUT, LogLimits.defaults());
  }

  @Override
  public InstanceList instanceList() {
    return new HttpInstanceList(exchanges, platformAddress(), TIMEOUT);
  }

  @Override
  public PoolControl poolControl() {
    return new HttpPoolControl(exchanges, platformAddress(), TIMEOUT);
  }

  @Override
  public WorkerControl workerControl() {
    return new HttpWorkerControl(exchanges, TIMEOUT);
  }

  @Override
  public EndpointClient endpointClient() {
    return new HttpEndpointClient(exchanges);
  }

  @Override
  public String addressOf(String instance) {
    return await(instanceList().list()).get().getInstancesList().stream()
        .filter(listed -> listed.getInstance().equals(instance))
        .map(ListedInstance::getAddress)
        .findFirst()
        .orElseThrow();
  }

  @Override
  public String unreachableAddress() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  @Override
  public byte[] taskPayload(String tag, long runMilliseconds) {
    return TaskPlan.newBuilder()
        .setTag(tag)
        .setTeam("captains")
        .setRunMilliseconds(runMilliseconds)
        .setPeak(ResourceAmount.newBuilder().setProcessorMillicores(500).setMemoryMebibytes(64))
        .build()
        .toByteArray();
  }

  @Override
  public void makeLogUnavailable() {
    postFaults("{\"logDown\":true}");
  }

  @Override
  public void dropNextAppendResponse() {
    postFaults("{\"lostAppendReplies\":1}");
  }

  @Override
  public void duplicateNextAppend() {
    postFaults("{\"duplicateAppends\":1}");
  }

  private void postFaults(String body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + platform.address() + "/faults"))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    try (HttpClient client = HttpClient.newHttpClient()) {
      int status = client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
      if (status != 200) {
        throw new IllegalStateException("the stand-in rejected the faults with status " + status);
      }
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(exception);
    }
  }

  @Override
  public <T> T await(CompletableFuture<T> future) {
    return future.join();
  }

  @Override
  public void advanceMilliseconds(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    endpoints.close();
    platform.close();
    exchanges.close();
    group.close();
  }
}
