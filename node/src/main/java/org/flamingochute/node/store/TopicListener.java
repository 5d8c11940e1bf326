package org.flamingochute.node.store;

import java.util.List;
import org.flamingochute.platform.wire.StoreRecord;

/** Receives the records of a topic. */
public interface TopicListener {

  /** Called when the topic was read completely, with the newest record of each key. */
  void onSnapshot(List<StoreRecord> records);

  /** Called for each appended record. */
  void onRecord(StoreRecord record);

  /** Called after a read has reached the end of the topic and its records were delivered. */
  default void onCaughtUp() {}
}
