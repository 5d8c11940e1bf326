package org.flamingochute.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.platform.ThreadPoolTimers;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.NumericAddress;

/** HTTP client, timers and balancer shared by all callers of a run. */
final class LoadClients implements AutoCloseable {

  private static final int MAXIMUM_CONNECTIONS_PER_ENTRY = 1024;
  private static final int MAXIMUM_WAITING_REQUESTS = 100_000;
  private static final int MAXIMUM_RESPONSE_BYTES = 32 * 1024 * 1024;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final EventLoopGroup group;
  private final ExchangeClient client;
  private final Timers timers = new ThreadPoolTimers(1, ThreadPoolTimers.TaskFailureListener.NONE);
  private final Balancer balancer;
  private final List<NumericAddress> entries;

  private LoadClients(List<NumericAddress> entries, int threads) {
    group = EventLoopGroup.start("load", threads);
    ExchangeLimits limits =
        ExchangeLimits.builder()
            .maximumConnections(MAXIMUM_CONNECTIONS_PER_ENTRY)
            .maximumQueuedExchanges(MAXIMUM_WAITING_REQUESTS)
            .maximumResponseBytes(MAXIMUM_RESPONSE_BYTES)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();
    client = new ExchangeClient(group, limits, ExchangeListener.NONE);
    balancer = new Balancer(entries, timers);
    this.entries = entries;
  }

  /**
   * Creates the clients.
   *
   * @param entries comma-separated addresses of the entries
   */
  static LoadClients create(String entries, int threads) throws LoadException {
    List<NumericAddress> addresses = new ArrayList<>();
    for (String entry : entries.split(",")) {
      Optional<NumericAddress> address = NumericAddress.parse(entry);
      if (address.isEmpty()) {
        throw new LoadException(
            ErrorReport.of(
                ErrorCode.COMMAND_LINE,
                "--entries: value \"" + entry + "\" is not an IP address and port"));
      }
      addresses.add(address.get());
    }
    return new LoadClients(addresses, threads);
  }

  /** Makes the balancer skip entries that are not ready. */
  void startReadinessProbe() {
    new ReadinessProbe(client, balancer, timers).start(entries);
  }

  ExchangeClient client() {
    return client;
  }

  Timers timers() {
    return timers;
  }

  Balancer balancer() {
    return balancer;
  }

  @Override
  public void close() {
    client.close();
    group.close();
  }
}
