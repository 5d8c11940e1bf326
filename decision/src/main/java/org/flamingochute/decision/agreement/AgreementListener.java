package org.flamingochute.decision.agreement;

import java.util.Map;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.LogRecord;

/**
 * Listens to changes of the agreed state. Methods are called in log order while a record is being
 * applied, and must not block.
 */
public interface AgreementListener {

  /** A record was applied. Called after the calls for the effects of the record. */
  default void recordApplied(long offset, LogRecord record, ApplyResult result) {}

  /** The fleet description changed. */
  default void descriptionChanged(FleetDescription before, FleetDescription after) {}

  /**
   * A team's escrow entered a new epoch. Tokens in transfer become invalid, and every member must
   * state its holding.
   *
   * @param suspended whether no member may start work or transfer tokens until the epoch closes
   */
  default void escrowEpochOpened(TeamId team, long epoch, boolean suspended) {}

  /**
   * A member's statement of its tokens was accepted. In a suspended epoch the member now holds
   * exactly this many; in another one it may have transferred some since.
   */
  default void holdingStated(TeamId team, long epoch, Incarnation member, int tokens) {}

  /** The epoch's tokens were settled; this ends a suspension. */
  default void escrowEpochClosed(TeamId team, long epoch) {}

  /**
   * New tokens of the epoch were issued to members, because the epoch closed, a cap was raised, or
   * a job ended.
   */
  default void tokensIssued(TeamId team, long epoch, Map<Incarnation, Integer> tokens) {}

  /** A member joined. */
  default void memberJoined(Incarnation incarnation) {}

  /** A member left or was declared gone. */
  default void memberRemoved(Incarnation incarnation) {}

  /** The whole state was replaced by an image of a later offset. */
  default void stateReplaced() {}
}
