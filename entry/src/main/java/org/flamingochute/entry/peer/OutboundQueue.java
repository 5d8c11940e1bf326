package org.flamingochute.entry.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.flamingochute.schema.PeerFrame;

/**
 * Frames that wait for one connection, limited in number and bytes.
 *
 * <p>When the queue is full, the oldest gossip goes first, since a newer one replaces it; when
 * there is none, the oldest frame goes. Safe for use by several threads.
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
   * @return how many frames were dropped for it
   */
  synchronized int add(PeerFrame frame) {
    frames.addLast(frame);
    bytes += frame.getSerializedSize();
    int dropped = 0;
    while (frames.size() > maximumFrames || bytes > maximumBytes) {
      removeOne();
      dropped++;
    }
    return dropped;
  }

  private void removeOne() {
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

  /** Takes the oldest frame, or returns null when there is none. */
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

  /** Drops everything and returns how many frames that were. */
  synchronized int clear() {
    int count = frames.size();
    frames.clear();
    bytes = 0;
    return count;
  }
}
