package org.flamingochute.node.store;

import java.util.List;
import org.flamingochute.platform.wire.StoreRecord;

/** Receives what a topic holds. */
public interface TopicListener {

  /** The topic was read anew: these are the newest records of all keys. */
  void snapshot(List<StoreRecord> records);

  /** A record was appended. */
  void record(StoreRecord record);

  /** Everything that the topic held when the last read was sent has been delivered. */
  default void caughtUp() {}
}
