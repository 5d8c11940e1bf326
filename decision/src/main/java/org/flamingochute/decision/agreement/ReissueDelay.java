package org.flamingochute.decision.agreement;

import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetSection;
import org.flamingochute.schema.HoldBackImage;

/**
 * The delay before the tokens of a lost member are issued again: the freshness limit plus the
 * longest deadline of a request, since the member's work may continue for that long.
 *
 * <p>When a patch lowers these limits, requests that started before the patch still have the longer
 * deadline. So the longer delay stays in effect until it has elapsed once. Example: the delay is
 * lowered from 35 s to 5 s, and a member is lost 10 s later; its tokens are issued again after 35
 * s. If it is lost 40 s after the patch, the delay is 5 s.
 */
final class ReissueDelay {

  private long currentMilliseconds;
  private long earlierMilliseconds;
  private long untilMilliseconds;

  /** Applies the limits of a new description. */
  synchronized void descriptionChanged(FleetDescription after, ApplyPosition position) {
    long before = milliseconds(position);
    currentMilliseconds = delayOf(after);
    if (currentMilliseconds < before) {
      earlierMilliseconds = before;
      untilMilliseconds = position.after(before);
    }
  }

  private static long delayOf(FleetDescription description) {
    FleetSection fleet = description.getFleet();
    return fleet.getMaximumFreshnessMilliseconds() + fleet.getMaximumRequestMilliseconds();
  }

  /** Returns the delay in milliseconds for a member that is lost now. */
  synchronized long milliseconds(ApplyPosition position) {
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

  /** Replaces the content by that of an image. */
  synchronized void load(FleetDescription description, HoldBackImage image) {
    currentMilliseconds = delayOf(description);
    earlierMilliseconds = image.getEarlierMilliseconds();
    untilMilliseconds = image.getUntilMilliseconds();
  }
}
