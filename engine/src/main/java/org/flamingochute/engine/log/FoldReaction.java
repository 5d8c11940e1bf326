package org.flamingochute.engine.log;

/** Reacts after records were folded, outside of every lock. */
@FunctionalInterface
public interface FoldReaction {

  /** One or more records were folded, or the state was replaced by an image. */
  void folded();
}
