package org.flamingochute.entry.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.platform.PeerTransport;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.schema.PeerFrame;

/**
 * Peer transport over TCP, based on Netty's NIO transport.
 *
 * <p>Each entry opens one connection to each peer that it sends to. On connections that it
 * accepted, it writes only the handshake and keep-alive frames. Without a secret, frames are sent
 * only to loopback addresses.
 */
public final class NettyPeerTransport implements PeerTransport, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int EVENT_LOOP_THREADS = 2;
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;

  /** Time without input after which an accepted connection is closed. */
  private static final int READ_IDLE_SECONDS = 60;

  private static final int MAXIMUM_INCOMING_CONNECTIONS = 256;
  private static final long UNUSED_CONNECTION_MILLISECONDS = 120_000;
  private static final long CLOSE_TIMEOUT_MILLISECONDS = 2000;

  private final PeerTransportSettings settings;
  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
  private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
  private final AtomicInteger incomingConnections = new AtomicInteger();
  private volatile PeerFrameListener listener = frame -> {};
  private volatile boolean closed;

  /** Creates a transport that does not listen yet. */
  public NettyPeerTransport(PeerTransportSettings settings) {
    this.settings = settings;
  }

  /**
   * Starts listening.
   *
   * @return the bound address
   * @throws IOException when the address cannot be bound
   */
  public InetSocketAddress listen() throws IOException {
    ServerBootstrap server =
        new ServerBootstrap()
            .group(eventLoopGroup)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    initializeIncoming(channel);
                  }
                });
    try {
      Channel bound = server.bind(settings.address()).syncUninterruptibly().channel();
      return (InetSocketAddress) bound.localAddress();
    } catch (RuntimeException e) {
      throw new IOException(e.getMessage(), e);
    } catch (Exception e) {
      // Netty rethrows checked exceptions without declaring them.
      throw new IOException(e.getMessage(), e);
    }
  }

  private void initializeIncoming(SocketChannel channel) {
    int count = incomingConnections.incrementAndGet();
    channel.closeFuture().addListener(done -> incomingConnections.decrementAndGet());
    if (count > MAXIMUM_INCOMING_CONNECTIONS) {
      settings.metrics().refusedConnections().inc();
      channel.close();
      return;
    }
    PeerFrameDecoder decoder = new PeerFrameDecoder();
    PeerFrameEncoder encoder = new PeerFrameEncoder();
    addTls(channel, settings.serverTls());
    channel
        .pipeline()
        .addLast(new IdleStateHandler(READ_IDLE_SECONDS, 0, 0))
        .addLast(decoder)
        .addLast(encoder)
        .addLast(
            new IncomingPeerHandler(
                settings, decoder, encoder, frame -> listener.frameReceived(frame)));
  }

  private static void addTls(SocketChannel channel, Optional<SslContext> context) {
    context.ifPresent(tls -> channel.pipeline().addLast(tls.newHandler(channel.alloc())));
  }

  private Bootstrap bootstrap(EventLoop loop, PeerConnection connection) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
        .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                initializeOutgoing(channel, connection);
              }
            });
  }

  private void initializeOutgoing(SocketChannel channel, PeerConnection connection) {
    PeerFrameDecoder decoder = new PeerFrameDecoder();
    PeerFrameEncoder encoder = new PeerFrameEncoder();
    addTls(channel, settings.clientTls());
    long keepAliveTimeoutMilliseconds = settings.keepAliveTimeout().toMillis();
    channel
        .pipeline()
        .addLast(new IdleStateHandler(keepAliveTimeoutMilliseconds, 0, 0, TimeUnit.MILLISECONDS))
        .addLast(decoder)
        .addLast(encoder)
        .addLast(new OutgoingPeerHandler(settings, decoder, encoder, connection));
  }

  @Override
  public void send(String peerAddress, PeerFrame frame) {
    if (closed) {
      return;
    }
    if (frame.getSerializedSize() > settings.maximumFrameBytes()) {
      recordDropped(peerAddress, "the frame exceeds the size limit");
      return;
    }
    PeerConnection connection = connections.get(peerAddress);
    if (connection == null) {
      Optional<NumericAddress> address = NumericAddress.parse(peerAddress);
      if (address.isEmpty() || !isAddressAllowed(address.get().socketAddress())) {
        recordDropped(peerAddress, "the address is not allowed");
        return;
      }
      connection = openConnection(peerAddress, address.get().socketAddress());
    }
    connection.send(frame);
  }

  private void recordDropped(String peerAddress, String reason) {
    settings.metrics().dropped().inc();
    logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
        "event=peer_frame_dropped peer=%s reason=%s", peerAddress, LogText.quoted(reason));
  }

  private boolean isAddressAllowed(InetSocketAddress address) {
    return settings.hasSecret() || address.getAddress().isLoopbackAddress();
  }

  private PeerConnection openConnection(String peerAddress, InetSocketAddress address) {
    closeUnusedConnections();
    return connections.computeIfAbsent(
        peerAddress,
        key -> {
          EventLoop loop = (EventLoop) eventLoopGroup.next();
          return new PeerConnection(address, loop, owner -> bootstrap(loop, owner), settings);
        });
  }

  private void closeUnusedConnections() {
    connections
        .values()
        .removeIf(
            connection -> {
              boolean unused = connection.unusedMilliseconds() > UNUSED_CONNECTION_MILLISECONDS;
              if (unused) {
                connection.close();
              }
              return unused;
            });
  }

  @Override
  public void setFrameListener(PeerFrameListener receiver) {
    listener = receiver;
  }

  /** Closes all connections and stops the threads. */
  @Override
  public void close() {
    closed = true;
    connections.values().forEach(PeerConnection::close);
    eventLoopGroup
        .shutdownGracefully(0, CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
  }
}
