package org.flamingochute.entry.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.flamingochute.schema.PeerFrame;

/**
 * Queue of the frames to send on one connection, limited in number and bytes.
 *
 * <p>When the queue is full, the oldest gossip frame is dropped first, because newer gossip
 * supersedes it. If there is none, the oldest frame is dropped. Thread-safe.
 */
final class OutboundQueue {
  private final int maximumFrames;
  private final long maximumBytes;
  private final Deque<PeerFrame> frames = new ArrayDeque<>();
  private long bytes;

  OutboundQueue(int maximumFrames, long maximumBytes) {
    this.maximumFrames = maximumFrames;
    this.maximumBytes = maximumBytes;
  }

  /**
   * Adds a frame.
   *
   * @return number of frames dropped to keep the limits
   */
  synchronized int add(PeerFrame frame) {
    frames.addLast(frame);
    bytes += frame.getSerializedSize();
    int dropped = 0;
    while (frames.size() > maximumFrames || bytes > maximumBytes) {
      dropOne();
      dropped++;
    }
    return dropped;
  }

  private void dropOne() {
    Iterator<PeerFrame> iterator = frames.iterator();
    while (iterator.hasNext()) {
      PeerFrame frame = iterator.next();
      if (frame.hasGossip()) {
        iterator.remove();
        bytes -= frame.getSerializedSize();
        return;
      }
    }
    bytes -= frames.removeFirst().getSerializedSize();
  }

  /** Removes and returns the oldest frame, or returns null if the queue is empty. */
  synchronized PeerFrame poll() {
    PeerFrame frame = frames.pollFirst();
    if (frame != null) {
      bytes -= frame.getSerializedSize();
    }
    return frame;
  }

  synchronized boolean isEmpty() {
    return frames.isEmpty();
  }

  /** Drops all frames and returns their number. */
  synchronized int clear() {
    int count = frames.size();
    frames.clear();
    bytes = 0;
    return count;
  }
}
