package org.carobhoist.core.job;

import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.WeightVersion;

/**
 * The result of an item, in the bytes in which callers read it, or with the place where these are.
 *
 * @param item the item
 * @param dead whether it was given up
 * @param versions the weight versions that generated its events
 * @param pageEntry the bytes that a page of results holds for it; none where they lie elsewhere
 * @param place where the bytes lie; empty if they are only here
 */
public record ItemResult(
    ItemId item,
    boolean dead,
    Set<WeightVersion> versions,
    byte[] pageEntry,
    Optional<EntryPlace> place) {

  private static final byte[] ELSEWHERE = {};

  /** Copies the versions. */
  public ItemResult {
    versions = Set.copyOf(versions);
  }

  /** Creates a result whose bytes are only here. */
  public ItemResult(ItemId item, boolean dead, Set<WeightVersion> versions, byte[] pageEntry) {
    this(item, dead, versions, pageEntry, Optional.empty());
  }

  /** Returns this result without its bytes, which lie at the place. */
  public ItemResult at(EntryPlace newPlace) {
    return new ItemResult(item, dead, versions, ELSEWHERE, Optional.of(newPlace));
  }

  /** Returns this result with its bytes. */
  public ItemResult with(byte[] entry) {
    return new ItemResult(item, dead, versions, entry);
  }

  /** Returns the number of bytes that a page holds for it. */
  public int length() {
    return place.map(EntryPlace::length).orElse(pageEntry.length);
  }

  /** Returns whether the result may stand in a job with the given bounds. */
  public boolean fits(WeightVersion minVersion, boolean singleVersion) {
    boolean fresh = versions.stream().allMatch(v -> v.compareTo(minVersion) >= 0);
    return !dead && fresh && (!singleVersion || versions.size() == 1);
  }
}
