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
 * The opened connection to one peer, made when the first frame is to be sent and made again after a
 * failure, with a delay that doubles up to a limit.
 *
 * <p>Frames that wait when a connection fails are lost; what matters is repeated by its sender. The
 * state belongs to one event loop; {@link #send} may be called from any thread.
 */
final class PeerConnection {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long FIRST_DELAY_MILLISECONDS = 50;
  private static final long LONGEST_DELAY_MILLISECONDS = 2000;
  private static final int QUEUE_FRAMES = 1024;
  private static final int QUEUE_FULL_FRAMES = 2;

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
  private long delayMilliseconds = FIRST_DELAY_MILLISECONDS;
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
        new OutboundQueue(QUEUE_FRAMES, (long) QUEUE_FULL_FRAMES * settings.maximumFrameBytes());
  }

  /** Queues a frame and sees to it that it is written. */
  void send(PeerFrame frame) {
    lastUseNanoseconds = System.nanoTime();
    metrics.dropped().inc(queue.add(frame));
    loop.execute(this::advance);
  }

  /** Returns the time since the last frame in milliseconds. */
  long unusedMilliseconds() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastUseNanoseconds);
  }

  private void advance() {
    switch (state) {
      case IDLE -> connect();
      case ESTABLISHED -> flush();
      case CLOSED -> metrics.dropped().inc(queue.clear());
      default -> {
        // Connecting or waiting: the frame goes out when the connection is there.
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
            failed();
          }
        });
    channel.closeFuture().addListener(done -> failed());
  }

  /** The handshake is over on the channel; called on the event loop. */
  void established(Channel ready) {
    if (state != State.CONNECTING || ready != channel) {
      ready.close();
      return;
    }
    state = State.ESTABLISHED;
    delayMilliseconds = FIRST_DELAY_MILLISECONDS;
    logger.atInfo().log("event=peer_connected peer=%s", address);
    flush();
  }

  /** Writes what waits, as far as the channel takes it; called on the event loop. */
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

  private void failed() {
    if (state != State.CONNECTING && state != State.ESTABLISHED) {
      return;
    }
    state = State.WAITING;
    metrics.dropped().inc(queue.clear());
    loop.schedule(this::retry, delayMilliseconds, TimeUnit.MILLISECONDS);
    delayMilliseconds = Math.min(delayMilliseconds * 2, LONGEST_DELAY_MILLISECONDS);
  }

  private void retry() {
    if (state == State.WAITING) {
      state = State.IDLE;
      connect();
    }
  }

  /** Closes the connection for good. */
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
