package org.flamingochute.engine.fake;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingochute.platform.PeerTransport;
import org.flamingochute.schema.PeerFrame;

/** Frames between entries in memory; single ways can be cut, and frames lost or repeated. */
public final class FakePeerNetwork {

  private static final Duration LATENCY = Duration.ofMillis(1);

  private final VirtualTimers clock;
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private final Set<String> cutWays = new HashSet<>();
  private int loseEvery;
  private int repeatEvery;
  private int sent;

  /** Creates a network without entries. */
  public FakePeerNetwork(VirtualTimers clock) {
    this.clock = clock;
  }

  /** Returns the transport of an entry at an address. */
  public PeerTransport transport(String address, PausableTimers process) {
    Endpoint endpoint = new Endpoint(address, process);
    endpoints.put(address, endpoint);
    return endpoint;
  }

  /** Cuts one way between two addresses. */
  public void cut(String from, String to) {
    cutWays.add(from + ">" + to);
  }

  /** Connects all ways again. */
  public void mend() {
    cutWays.clear();
  }

  /** Loses every n-th frame; 0 for none. */
  public void loseEvery(int value) {
    loseEvery = value;
  }

  /** Delivers every n-th frame twice; 0 for none. */
  public void repeatEvery(int value) {
    repeatEvery = value;
  }

  private void deliver(String from, String to, PeerFrame frame) {
    Endpoint receiver = endpoints.get(to);
    if (receiver == null || cutWays.contains(from + ">" + to)) {
      return;
    }
    clock.schedule(LATENCY, () -> receiver.process.runOrHold(() -> receiver.receive(frame)));
  }

  private final class Endpoint implements PeerTransport {

    private final String address;
    private final PausableTimers process;
    private PeerFrameListener listener = frame -> {};

    private Endpoint(String address, PausableTimers process) {
      this.address = address;
      this.process = process;
    }

    private void receive(PeerFrame frame) {
      listener.frameReceived(frame);
    }

    @Override
    public void send(String peerAddress, PeerFrame frame) {
      sent++;
      if (process.isDead() || (loseEvery > 0 && sent % loseEvery == 0)) {
        return;
      }
      deliver(address, peerAddress, frame);
      if (repeatEvery > 0 && sent % repeatEvery == 0) {
        deliver(address, peerAddress, frame);
      }
    }

    @Override
    public void onFrame(PeerFrameListener frameListener) {
      listener = frameListener;
    }
  }
}
