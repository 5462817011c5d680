package org.carobhoist.core.rollout;

import java.net.URI;
import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;

/**
 * The policy by which the samples of a profile are generated.
 *
 * @param maxStaleness maximum number of versions by which a sample's oldest token may lag behind
 *     the trainer's version at delivery
 * @param swapPolicy what happens to a sample in flight when its engine changes its weight version
 * @param idleWeight trade-off from 0 (minimize staleness only) to 1 (minimize trainer idle time
 *     only)
 * @param maxWaste maximum share of all tokens, from 0 to 1, that optional cancellations may waste
 * @param scorer URI of the scorer that scores each sample before its group is complete, if any
 */
public record RolloutPolicy(
    long maxStaleness,
    SwapPolicy swapPolicy,
    double idleWeight,
    double maxWaste,
    Optional<URI> scorer) {

  /** Default for {@link #maxWaste} of profiles that don't set it. */
  public static final double DEFAULT_MAX_WASTE = 0.1;

  /** What happens to a sample in flight when its engine changes its weight version. */
  public enum SwapPolicy {
    /** The attempt continues, and the sample names all versions that produced its tokens. */
    KEEP,
    /** The attempt ends, and another one resumes from its tokens with the new version. */
    RESUME,
    /** The attempt ends, its tokens are discarded, and another one starts from the prompt. */
    RESTART
  }

  /** Creates a policy with the default waste limit and without a scorer. */
  public RolloutPolicy(long maxStaleness, SwapPolicy swapPolicy, double idleWeight) {
    this(maxStaleness, swapPolicy, idleWeight, DEFAULT_MAX_WASTE, Optional.empty());
  }

  /**
   * Returns whether tokens of version {@code oldest} are fresh enough for the trainer's version.
   */
  public boolean isFresh(WeightVersion oldest, WeightVersion trainer) {
    return oldest.versionsBehind(trainer) <= maxStaleness;
  }

  /** Returns by how many versions an engine may lag behind the freshest one and still be used. */
  public long maxEngineLag() {
    return (long) Math.floor(idleWeight * maxStaleness);
  }
}
