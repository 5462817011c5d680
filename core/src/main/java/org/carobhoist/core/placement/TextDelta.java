package org.carobhoist.core.placement;

import java.util.Set;
import org.carobhoist.core.common.WeightVersion;

/**
 * The events of a run from one position on.
 *
 * @param skipped events before these
 * @param events number of the events in the content
 * @param content data of the events, with a line feed between two of them
 * @param lastId id of the last event; empty if there is none
 * @param versions the weight versions of all events so far
 */
public record TextDelta(
    int skipped, int events, byte[] content, String lastId, Set<WeightVersion> versions) {

  /** A delta without events, for a run that has none. */
  public static final TextDelta NONE = new TextDelta(0, 0, new byte[0], "", Set.of());

  /** Copies the versions. */
  public TextDelta {
    versions = Set.copyOf(versions);
  }

  /** Returns the number of events up to the end of this delta. */
  public int total() {
    return skipped + events;
  }
}
