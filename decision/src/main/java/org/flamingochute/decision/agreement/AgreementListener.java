package org.flamingochute.decision.agreement;

import java.util.Map;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.LogRecord;

/**
 * Reacts to changes of the agreed state. Methods are called in the order of the log, from within
 * the fold, and must not block.
 */
public interface AgreementListener {

  /** A record was folded. Called after the effects of the record. */
  default void recordFolded(long offset, LogRecord record, FoldResult result) {}

  /** The fleet description changed. */
  default void descriptionChanged(FleetDescription before, FleetDescription after) {}

  /**
   * A team's escrow entered a new epoch. Every member scales its holdings by the ratio of usable
   * caps and states them.
   *
   * @param usableBefore tokens that were not used by jobs before, in total
   * @param usableAfter tokens that are not used by jobs now, in total; never negative
   */
  default void escrowEpochOpened(TeamId team, long epoch, int usableBefore, int usableAfter) {}

  /** The fold gave tokens of the epoch to members: after an epoch closed, or when a job ended. */
  default void tokensMinted(TeamId team, long epoch, Map<Incarnation, Integer> tokens) {}

  /** A member joined. */
  default void memberJoined(Incarnation incarnation) {}

  /** A member left or is gone. */
  default void memberRemoved(Incarnation incarnation) {}

  /** The whole state was replaced by an image of a later offset. */
  default void stateReplaced() {}
}
