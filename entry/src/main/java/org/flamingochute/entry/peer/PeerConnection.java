package org.flamingochute.entry.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.flamingochute.schema.PeerFrame;

/**
 * Outgoing connection to one peer. It is opened when the first frame is sent. After a failure it is
 * reopened for the next frame, but not before a delay that doubles with each failure in a row.
 *
 * <p>Frames that are queued when a connection fails are lost; senders repeat important frames. The
 * state is confined to one event loop; {@link #send} may be called from any thread.
 */
final class PeerConnection {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long INITIAL_RECONNECT_DELAY_MILLISECONDS = 50;
  private static final long MAXIMUM_RECONNECT_DELAY_MILLISECONDS = 2000;
  private static final int MAXIMUM_QUEUED_FRAMES = 1024;
  private static final int MAXIMUM_QUEUED_FULL_SIZE_FRAMES = 2;

  private enum State {
    IDLE,
    CONNECTING,
    ESTABLISHED,
    WAITING,
    CLOSED
  }

  private final InetSocketAddress address;
  private final EventLoop loop;
  private final Function<PeerConnection, Bootstrap> bootstrap;
  private final PeerMetrics metrics;
  private final OutboundQueue queue;
  private State state = State.IDLE;
  private Channel channel;
  private long reconnectDelayMilliseconds = INITIAL_RECONNECT_DELAY_MILLISECONDS;
  private volatile long lastUseNanoseconds = System.nanoTime();

  PeerConnection(
      InetSocketAddress address,
      EventLoop loop,
      Function<PeerConnection, Bootstrap> bootstrap,
      PeerTransportSettings settings) {
    this.address = address;
    this.loop = loop;
    this.bootstrap = bootstrap;
    this.metrics = settings.metrics();
    this.queue =
        new OutboundQueue(
            MAXIMUM_QUEUED_FRAMES,
            (long) MAXIMUM_QUEUED_FULL_SIZE_FRAMES * settings.maximumFrameBytes());
  }

  /** Queues a frame and schedules its writing. */
  void send(PeerFrame frame) {
    lastUseNanoseconds = System.nanoTime();
    metrics.dropped().inc(queue.add(frame));
    loop.execute(this::connectOrFlush);
  }

  /** Returns the time in milliseconds since a frame was last queued. */
  long unusedMilliseconds() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastUseNanoseconds);
  }

  private void connectOrFlush() {
    switch (state) {
      case IDLE -> connect();
      case ESTABLISHED -> flush();
      case CLOSED -> metrics.dropped().inc(queue.clear());
      default -> {
        // Connecting or waiting to reconnect: the frame is written once connected.
      }
    }
  }

  private void connect() {
    if (queue.isEmpty()) {
      return;
    }
    state = State.CONNECTING;
    ChannelFuture attempt = bootstrap.apply(this).connect(address);
    channel = attempt.channel();
    attempt.addListener(
        done -> {
          if (!done.isSuccess()) {
            metrics.connectFailures().inc();
            logger.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                "event=peer_connect_failed peer=%s", address);
            onFailure();
          }
        });
    channel.closeFuture().addListener(done -> onFailure());
  }

  /** Called on the event loop when the handshake on a channel has succeeded. */
  void onEstablished(Channel ready) {
    if (state != State.CONNECTING || ready != channel) {
      ready.close();
      return;
    }
    state = State.ESTABLISHED;
    reconnectDelayMilliseconds = INITIAL_RECONNECT_DELAY_MILLISECONDS;
    logger.atInfo().log("event=peer_connected peer=%s", address);
    flush();
  }

  /** Writes queued frames while the channel is writable; called on the event loop. */
  void flush() {
    if (state != State.ESTABLISHED) {
      return;
    }
    boolean written = false;
    while (channel.isWritable()) {
      PeerFrame frame = queue.poll();
      if (frame == null) {
        break;
      }
      channel.write(frame);
      metrics.sent().inc();
      written = true;
    }
    if (written) {
      channel.flush();
    }
  }

  private void onFailure() {
    if (state != State.CONNECTING && state != State.ESTABLISHED) {
      return;
    }
    state = State.WAITING;
    metrics.dropped().inc(queue.clear());
    loop.schedule(this::retry, reconnectDelayMilliseconds, TimeUnit.MILLISECONDS);
    reconnectDelayMilliseconds =
        Math.min(reconnectDelayMilliseconds * 2, MAXIMUM_RECONNECT_DELAY_MILLISECONDS);
  }

  private void retry() {
    if (state == State.WAITING) {
      state = State.IDLE;
      connect();
    }
  }

  /** Closes the connection permanently. */
  void close() {
    loop.execute(
        () -> {
          state = State.CLOSED;
          metrics.dropped().inc(queue.clear());
          if (channel != null) {
            channel.close();
          }
        });
  }
}
