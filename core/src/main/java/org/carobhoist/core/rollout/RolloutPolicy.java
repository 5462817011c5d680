package org.carobhoist.core.rollout;

import java.net.URI;
import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;

/**
 * How samples of a profile are made.
 *
 * @param maxStaleness most versions that a sample's oldest token may lie behind the trainer's
 *     version at hand-over
 * @param swapPolicy what happens to a sample in flight when its engine changes version
 * @param idleWeight from 0 (only staleness counts) to 1 (only trainer idle time counts)
 * @param maxWaste largest share of tokens, from 0 to 1, that cancellations by choice may waste
 * @param scorer where each sample is scored before its group counts as whole, if anywhere
 */
public record RolloutPolicy(
    long maxStaleness,
    SwapPolicy swapPolicy,
    double idleWeight,
    double maxWaste,
    Optional<URI> scorer) {

  /** Share of tokens that may be wasted where a profile names none. */
  public static final double DEFAULT_MAX_WASTE = 0.1;

  /** What happens to a sample in flight when its engine changes version. */
  public enum SwapPolicy {
    /** It goes on and names all of its versions. */
    KEEP,
    /** Its tokens are kept and it is resumed on the new version. */
    RESUME,
    /** It is begun again on the new version. */
    RESTART
  }

  /** Creates a policy with the default bound on waste and without a scorer. */
  public RolloutPolicy(long maxStaleness, SwapPolicy swapPolicy, double idleWeight) {
    this(maxStaleness, swapPolicy, idleWeight, DEFAULT_MAX_WASTE, Optional.empty());
  }

  /** Returns whether tokens of a version are fresh enough for a trainer with another one. */
  public boolean isFresh(WeightVersion oldest, WeightVersion trainer) {
    return oldest.behind(trainer) <= maxStaleness;
  }

  /** Returns by how many versions an engine may lie behind the freshest one and still be used. */
  public long engineSlack() {
    return (long) Math.floor(idleWeight * maxStaleness);
  }
}
