package org.flamingochute.node;

import io.activej.eventloop.Eventloop;
import java.util.List;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.platform.standin.FleetSettings;
import org.flamingochute.platform.standin.PlatformServer;
import org.flamingochute.platform.wire.StoreClient;

/** The platform stand-in with one machine, and a node's event loop and client of its store. */
public final class PlatformFixture implements AutoCloseable {
  private final EventLoopGroup group;
  private final ExchangeClient exchanges;
  private final Eventloop loop;
  private final PlatformServer platform;
  private final StoreClient store;

  /**
   * Starts the platform.
   *
   * @param name name of the event loop's thread
   */
  public PlatformFixture(String name) {
    group = EventLoopGroup.start(name, 1);
    exchanges = new ExchangeClient(group, ExchangeLimits.builder().build(), ExchangeListener.NONE);
    loop = group.next();
    platform = startPlatform();
    store = storeAt(platform.address());
  }

  private static PlatformServer startPlatform() {
    try {
      return PlatformServer.start(
          FleetSettings.withShortDurations(List.of(new FleetSettings.PoolSize("p", 1))),
          "127.0.0.1:0");
    } catch (Exception e) {
      throw new IllegalStateException("the platform stand-in cannot be started", e);
    }
  }

  /** Returns the node's event loop. */
  public Eventloop loop() {
    return loop;
  }

  /** Returns the client that the node's calls are made with. */
  public ExchangeClient exchanges() {
    return exchanges;
  }

  /** Returns the stand-in. */
  public PlatformServer platform() {
    return platform;
  }

  /** Returns a client of the stand-in's store. */
  public StoreClient store() {
    return store;
  }

  /** Returns a client of a store at another address. */
  public StoreClient storeAt(String address) {
    return new StoreClient(exchanges, NumericAddress.parse(address).orElseThrow());
  }

  @Override
  public void close() {
    exchanges.close();
    group.close();
    platform.close();
  }
}
