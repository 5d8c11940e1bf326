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
   * A team's escrow entered a new epoch. Tokens in transfer are void; every member states what it
   * holds.
   *
   * @param suspended true when no member may start work or transfer tokens until the epoch closes
   */
  default void escrowEpochOpened(TeamId team, long epoch, boolean suspended) {}

  /** A member's statement was accepted: in the epoch it holds exactly this many tokens. */
  default void holdingStated(TeamId team, long epoch, Incarnation member, int tokens) {}

  /** The epoch's tokens are settled; a suspension is over. */
  default void escrowEpochClosed(TeamId team, long epoch) {}

  /**
   * The fold gave tokens of the epoch to members: when it closed, when a cap was raised, or when a
   * job ended.
   */
  default void tokensMinted(TeamId team, long epoch, Map<Incarnation, Integer> tokens) {}

  /** A member joined. */
  default void memberJoined(Incarnation incarnation) {}

  /** A member left or is gone. */
  default void memberRemoved(Incarnation incarnation) {}

  /** The whole state was replaced by an image of a later offset. */
  default void stateReplaced() {}
}
