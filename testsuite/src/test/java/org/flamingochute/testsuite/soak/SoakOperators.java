package org.flamingochute.testsuite.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;

/** Operators, who write declarations to the store and evacuate one data centre at a time. */
final class SoakOperators {
  private static final int MAXIMUM_PAUSE_MILLISECONDS = 4_000;

  /** Longer than the time after which an evacuation must have its effect. */
  private static final int MINIMUM_EVACUATION_MILLISECONDS = 6_500;

  private static final int MAXIMUM_EVACUATION_MILLISECONDS = 12_000;
  private static final int OK = 200;

  private final HttpClient http = HttpClient.newHttpClient();
  private final String storeAddress;
  private final List<Evacuation> evacuations = new CopyOnWriteArrayList<>();

  /**
   * A request to evacuate a data centre.
   *
   * @param dataCentre name of the data centre
   * @param workers ids of its workers
   * @param acknowledgedAt when the store acknowledged it, in milliseconds since the epoch
   * @param deletedAt when its deletion was sent
   */
  record Evacuation(String dataCentre, Set<String> workers, long acknowledgedAt, long deletedAt) {}

  SoakOperators(String storeAddress) {
    this.storeAddress = storeAddress;
  }

  List<Evacuation> evacuations() {
    return evacuations;
  }

  /** Writes a record to the declarations; an empty value deletes it. */
  void declare(String key, String value) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + storeAddress + "/operator/declare?key=" + key))
            .POST(HttpRequest.BodyPublishers.ofString(value))
            .build();
    int status = http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    if (status != OK) {
      throw new IOException("the store has answered " + status + " to the declaration " + key);
    }
  }

  /** Requests evacuations within the duration, each after the end of the one before. */
  void evacuate(UniformRandomProvider random, long durationMilliseconds, List<WorkerHost> workers) {
    try {
      long end = System.currentTimeMillis() + durationMilliseconds;
      Thread.sleep(random.nextInt(MAXIMUM_PAUSE_MILLISECONDS));
      while (System.currentTimeMillis() < end) {
        evacuateOne("dc-" + random.nextInt(WorkerHost.DATA_CENTRES), random, workers);
        Thread.sleep(random.nextInt(MAXIMUM_PAUSE_MILLISECONDS));
      }
    } catch (IOException e) {
      throw new IllegalStateException("the operators cannot write to the store", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void evacuateOne(
      String dataCentre, UniformRandomProvider random, List<WorkerHost> workers)
      throws IOException, InterruptedException {
    declare("evacuate/" + dataCentre, "{}");
    final long acknowledgedAt = System.currentTimeMillis();
    Thread.sleep(random.nextInt(MINIMUM_EVACUATION_MILLISECONDS, MAXIMUM_EVACUATION_MILLISECONDS));
    evacuations.add(
        new Evacuation(
            dataCentre,
            workers.stream()
                .filter(worker -> worker.dataCentre().equals(dataCentre))
                .map(WorkerHost::id)
                .collect(Collectors.toSet()),
            acknowledgedAt,
            System.currentTimeMillis()));
    declare("evacuate/" + dataCentre, "");
  }
}
