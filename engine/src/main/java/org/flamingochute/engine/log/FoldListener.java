package org.flamingochute.engine.log;

/** Is called after records were folded, without any lock held. */
@FunctionalInterface
public interface FoldListener {

  /** One or more records were folded, or the state was replaced by an image. */
  void afterFold();
}
