package org.flamingochute.decision.agreement;

import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetSection;
import org.flamingochute.schema.HoldBackImage;

/**
 * How long the tokens of a lost member are held back: its work may run on for the freshness limit
 * and the longest deadline of a request.
 *
 * <p>When a patch lowers these limits, requests that started before it still have the earlier
 * deadline. So the earlier time counts until it has passed once. Example: the limit falls from 35 s
 * to 5 s, and a member is lost 10 s later; its tokens are held back for 35 s. Had it been lost 40 s
 * after the patch, 5 s would do.
 */
final class HoldBack {

  private long currentMilliseconds;
  private long earlierMilliseconds;
  private long untilMilliseconds;

  /** Follows the limits of a new description. */
  synchronized void descriptionChanged(FleetDescription after, FoldPosition position) {
    long before = milliseconds(position);
    currentMilliseconds = limitOf(after);
    if (currentMilliseconds < before) {
      earlierMilliseconds = before;
      untilMilliseconds = position.after(before);
    }
  }

  private static long limitOf(FleetDescription description) {
    FleetSection fleet = description.getFleet();
    return fleet.getMaximumFreshnessMilliseconds() + fleet.getMaximumRequestMilliseconds();
  }

  /** Returns the time in milliseconds for a member that is lost now. */
  synchronized long milliseconds(FoldPosition position) {
    if (position.timeMilliseconds() >= untilMilliseconds) {
      return currentMilliseconds;
    }
    return Math.max(currentMilliseconds, earlierMilliseconds);
  }

  synchronized HoldBackImage image() {
    return HoldBackImage.newBuilder()
        .setEarlierMilliseconds(earlierMilliseconds)
        .setUntilMilliseconds(untilMilliseconds)
        .build();
  }

  /** Replaces everything by the content of an image. */
  synchronized void load(FleetDescription description, HoldBackImage image) {
    currentMilliseconds = limitOf(description);
    earlierMilliseconds = image.getEarlierMilliseconds();
    untilMilliseconds = image.getUntilMilliseconds();
  }
}
