package org.flamingochute.node.store;

import java.util.List;
import org.flamingochute.platform.wire.StoreRecord;

/** Receives the records of a topic. */
public interface TopicListener {

  /** Called when the topic was read completely, with the newest records of all keys. */
  void snapshot(List<StoreRecord> records);

  /** Called for each appended record. */
  void record(StoreRecord record);

  /** Called when all records that the topic held when the last read was sent were delivered. */
  default void caughtUp() {}
}
