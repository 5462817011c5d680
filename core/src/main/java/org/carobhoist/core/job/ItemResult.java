package org.carobhoist.core.job;

import java.util.Set;
import org.carobhoist.core.common.WeightVersion;

/**
 * The result of an item, in the bytes in which callers read it.
 *
 * @param item the item
 * @param dead whether it was given up
 * @param versions the weight versions that generated its events
 * @param pageEntry the bytes that a page of results holds for it
 */
public record ItemResult(ItemId item, boolean dead, Set<WeightVersion> versions, byte[] pageEntry) {

  /** Copies the versions. */
  public ItemResult {
    versions = Set.copyOf(versions);
  }

  /** Returns whether the result may stand in a job with the given bounds. */
  public boolean fits(WeightVersion minVersion, boolean singleVersion) {
    boolean fresh = versions.stream().allMatch(v -> v.compareTo(minVersion) >= 0);
    return !dead && fresh && (!singleVersion || versions.size() == 1);
  }
}
