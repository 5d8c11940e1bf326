package org.flamingochute.load;

import io.activej.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.http.ConnectionReuse;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeRequest;
import org.flamingochute.platform.http.ExchangeResult;
import org.flamingochute.platform.http.NumericAddress;

/**
 * Periodically checks the readiness of each entry, as load balancers do, and pauses entries that
 * are not ready in the balancer.
 *
 * <p>The interval and the timeout together are shorter than {@link Balancer#PAUSE_MILLISECONDS}, so
 * that an entry is skipped continuously while it is not ready.
 */
final class ReadinessProbe {

  private static final Duration INTERVAL = Duration.ofMillis(100);
  private static final long TIMEOUT_MILLISECONDS = 300;
  private static final int STATUS_OK = 200;
  private static final String PATH = "/health/ready";
  private static final byte[] EMPTY_BODY = new byte[0];

  private final ExchangeClient client;
  private final Balancer balancer;
  private final Timers timers;

  ReadinessProbe(ExchangeClient client, Balancer balancer, Timers timers) {
    this.client = client;
    this.balancer = balancer;
    this.timers = timers;
  }

  /** Starts checking the entries. */
  void start(List<NumericAddress> entries) {
    entries.forEach(this::probe);
  }

  private void probe(NumericAddress entry) {
    ExchangeRequest request =
        new ExchangeRequest(
            entry,
            HttpMethod.GET,
            PATH,
            List.of(),
            EMPTY_BODY,
            TIMEOUT_MILLISECONDS,
            ConnectionReuse.ALLOWED_WITH_RETRY,
            Optional.empty());
    client.send(request).thenAccept(result -> handleResult(entry, result));
  }

  private void handleResult(NumericAddress entry, ExchangeResult result) {
    if (!isReady(result)) {
      balancer.pause(entry);
    }
    timers.schedule(INTERVAL, () -> probe(entry));
  }

  private static boolean isReady(ExchangeResult result) {
    return result instanceof ExchangeResult.Answered answered && answered.status() == STATUS_OK;
  }
}
