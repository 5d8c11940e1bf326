package org.flamingochute.engine.fake;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingochute.platform.PeerTransport;
import org.flamingochute.schema.PeerFrame;

/**
 * An in-memory network between entries; links can be cut per direction, and frames lost or
 * duplicated.
 */
public final class FakePeerNetwork {

  private static final Duration LATENCY = Duration.ofMillis(1);

  private final VirtualTimers clock;
  private final Map<String, FakeTransport> transports = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private int loseEvery;
  private int duplicateEvery;
  private int sentFrames;

  /** Creates a network without entries. */
  public FakePeerNetwork(VirtualTimers clock) {
    this.clock = clock;
  }

  /** Returns the transport of an entry at an address. */
  public PeerTransport transport(String address, PausableTimers process) {
    FakeTransport transport = new FakeTransport(address, process);
    transports.put(address, transport);
    return transport;
  }

  /** Cuts the link between two addresses in one direction. */
  public void cutLink(String from, String to) {
    cutLinks.add(from + ">" + to);
  }

  /** Restores all links. */
  public void restoreLinks() {
    cutLinks.clear();
  }

  /** Loses every n-th frame; 0 loses none. */
  public void loseEvery(int value) {
    loseEvery = value;
  }

  /** Delivers every n-th frame twice; 0 duplicates none. */
  public void duplicateEvery(int value) {
    duplicateEvery = value;
  }

  private void deliver(String from, String to, PeerFrame frame) {
    FakeTransport receiver = transports.get(to);
    if (receiver == null || cutLinks.contains(from + ">" + to)) {
      return;
    }
    clock.schedule(LATENCY, () -> receiver.process.runOrDefer(() -> receiver.receive(frame)));
  }

  private final class FakeTransport implements PeerTransport {

    private final String address;
    private final PausableTimers process;
    private PeerFrameListener listener = frame -> {};

    private FakeTransport(String address, PausableTimers process) {
      this.address = address;
      this.process = process;
    }

    private void receive(PeerFrame frame) {
      listener.frameReceived(frame);
    }

    @Override
    public void send(String peerAddress, PeerFrame frame) {
      sentFrames++;
      if (process.isDead() || (loseEvery > 0 && sentFrames % loseEvery == 0)) {
        return;
      }
      deliver(address, peerAddress, frame);
      if (duplicateEvery > 0 && sentFrames % duplicateEvery == 0) {
        deliver(address, peerAddress, frame);
      }
    }

    @Override
    public void setFrameListener(PeerFrameListener frameListener) {
      listener = frameListener;
    }
  }
}
