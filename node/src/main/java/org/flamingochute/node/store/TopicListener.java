package org.flamingochute.node.store;

import java.util.List;
import org.flamingochute.platform.wire.StoreRecord;

/** Receives the records of a topic. */
public interface TopicListener {

  /**
   * Called before the topic is read completely, also when such a read has failed and is begun anew.
   * What the topic contains now is in the snapshot, unless it is deleted meanwhile.
   */
  default void onLoadStarted() {}

  /** Called when the topic was read completely, with the newest record of each key. */
  void onSnapshot(List<StoreRecord> records);

  /** Called for each appended record. */
  void onRecord(StoreRecord record);

  /** Called after a read has reached the end of the topic and its records were delivered. */
  default void onCaughtUp() {}
}
