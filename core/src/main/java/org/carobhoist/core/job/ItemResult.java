package org.carobhoist.core.job;

import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.WeightVersion;

/**
 * The result of an item: either the bytes that callers read, or the location of these bytes in the
 * store.
 *
 * @param item the item
 * @param givenUp whether the item was given up without a result
 * @param versions the weight versions that generated its events
 * @param pageEntry the bytes that a page of results contains for the item; empty if they are stored
 *     at the location
 * @param location location of the bytes in the store; empty if they are in this record
 */
public record ItemResult(
    ItemId item,
    boolean givenUp,
    Set<WeightVersion> versions,
    byte[] pageEntry,
    Optional<EntryLocation> location) {

  private static final byte[] NO_BYTES = {};

  /** Copies the versions. */
  public ItemResult {
    versions = Set.copyOf(versions);
  }

  /** Creates a result that contains its bytes. */
  public ItemResult(ItemId item, boolean givenUp, Set<WeightVersion> versions, byte[] pageEntry) {
    this(item, givenUp, versions, pageEntry, Optional.empty());
  }

  /** Returns this result without its bytes, which are stored at the given location. */
  public ItemResult withLocation(EntryLocation newPlace) {
    return new ItemResult(item, givenUp, versions, NO_BYTES, Optional.of(newPlace));
  }

  /** Returns this result with its bytes. */
  public ItemResult withBytes(byte[] entry) {
    return new ItemResult(item, givenUp, versions, entry);
  }

  /** Returns the number of bytes that a page of results contains for the item. */
  public int length() {
    return location.map(EntryLocation::length).orElse(pageEntry.length);
  }

  /** Returns whether the result satisfies the version constraints of a job. */
  public boolean fits(WeightVersion minVersion, boolean singleVersion) {
    boolean fresh = versions.stream().allMatch(v -> v.compareTo(minVersion) >= 0);
    return !givenUp && fresh && (!singleVersion || versions.size() == 1);
  }
}
