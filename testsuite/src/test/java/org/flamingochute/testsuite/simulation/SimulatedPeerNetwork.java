package org.flamingochute.testsuite.simulation;

import java.util.HashMap;
import java.util.Map;
import org.flamingochute.platform.PeerTransport;
import org.flamingochute.schema.PeerFrame;

/** Delivers frames between entries. The address of a peer is the name of its instance. */
public final class SimulatedPeerNetwork {

  private final VirtualClock clock;
  private final NetworkConditions network;
  private final Map<String, Port> ports = new HashMap<>();
  private long framesSent;
  private long bytesSent;

  /** Creates a network without registered processes. */
  public SimulatedPeerNetwork(VirtualClock clock, NetworkConditions network) {
    this.clock = clock;
    this.network = network;
  }

  /** Returns the transport of a process. It replaces that of an earlier process on the instance. */
  public PeerTransport transportFor(SimulatedProcess process) {
    Port port = new Port(process);
    ports.put(process.name(), port);
    return port;
  }

  /** Returns the number of sent frames, including lost ones. */
  public long framesSent() {
    return framesSent;
  }

  /** Returns the total size of all sent frames in bytes, including lost ones. */
  public long bytesSent() {
    return bytesSent;
  }

  private final class Port implements PeerTransport {

    private final SimulatedProcess process;
    private PeerFrameListener listener;

    Port(SimulatedProcess process) {
      this.process = process;
    }

    @Override
    public void send(String peerAddress, PeerFrame frame) {
      framesSent++;
      bytesSent += frame.getSerializedSize();
      if (!network.isConnected(process.name(), peerAddress)) {
        return;
      }
      long latency = network.latencyMilliseconds(process.name(), peerAddress);
      clock.runAfter(latency, () -> deliver(peerAddress, frame));
    }

    private void deliver(String peerAddress, PeerFrame frame) {
      Port receiver = ports.get(peerAddress);
      if (receiver == null || receiver.listener == null) {
        return;
      }
      receiver.process.runAfter(0, () -> receiver.listener.frameReceived(frame));
    }

    @Override
    public void setFrameListener(PeerFrameListener frameListener) {
      listener = frameListener;
    }
  }
}
