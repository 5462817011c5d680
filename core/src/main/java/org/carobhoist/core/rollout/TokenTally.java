package org.carobhoist.core.rollout;

/** Counts the useful and the wasted tokens of a step. */
final class TokenTally {

  private long useful;
  private long wasted;

  /** Called when a complete sample is kept. */
  void onKept(int tokens) {
    useful += tokens;
  }

  /** Called when tokens that were never counted as useful are discarded. */
  void onWasted(int tokens) {
    wasted += tokens;
  }

  /** Called when a sample that had been kept is discarded. */
  void onDropped(int tokens) {
    useful -= tokens;
    wasted += tokens;
  }

  /** Returns whether the wasted tokens stay within a share of all tokens if more are wasted. */
  boolean mayWaste(int tokens, double share) {
    return wasted + tokens <= share * (useful + wasted);
  }

  long useful() {
    return useful;
  }

  long wasted() {
    return wasted;
  }
}
