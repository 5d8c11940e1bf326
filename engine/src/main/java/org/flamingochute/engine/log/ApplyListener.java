package org.flamingochute.engine.log;

/** Is called after records were applied, without any lock held. */
@FunctionalInterface
public interface ApplyListener {

  /** One or more records were applied, or the state was replaced by an image. */
  void afterApply();
}
