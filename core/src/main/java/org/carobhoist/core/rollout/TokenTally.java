package org.carobhoist.core.rollout;

/** Counts the tokens of a step that were of use and those that were made in vain. */
final class TokenTally {

  private long useful;
  private long wasted;

  void onKept(int tokens) {
    useful += tokens;
  }

  void onWasted(int tokens) {
    wasted += tokens;
  }

  /** Takes the loss of a sample that had been kept. */
  void onDropped(int tokens) {
    useful -= tokens;
    wasted += tokens;
  }

  /** Returns whether a choice to waste more stays within a share of all tokens. */
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
