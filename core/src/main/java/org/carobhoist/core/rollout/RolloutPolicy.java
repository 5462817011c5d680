package org.carobhoist.core.rollout;

/**
 * How samples of a profile are made.
 *
 * @param maxStaleness most versions that a sample's oldest token may lie behind the trainer's
 *     version at hand-over
 * @param swapPolicy what happens to a sample in flight when its engine changes version
 * @param idleWeight from 0 (only staleness counts) to 1 (only trainer idle time counts)
 */
public record RolloutPolicy(long maxStaleness, SwapPolicy swapPolicy, double idleWeight) {

  /** What happens to a sample in flight when its engine changes version. */
  public enum SwapPolicy {
    /** It goes on and names all of its versions. */
    KEEP,
    /** Its tokens are kept and it is resumed on the new version. */
    RESUME,
    /** It is begun again on the new version. */
    RESTART
  }
}
