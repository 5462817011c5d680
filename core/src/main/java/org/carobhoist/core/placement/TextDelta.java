package org.carobhoist.core.placement;

import java.util.Set;
import org.carobhoist.core.common.WeightVersion;

/**
 * Consecutive events of a run's text, starting at a given position.
 *
 * @param firstEventIndex number of events before the first one of this delta
 * @param eventCount number of the events in the content
 * @param content data of the events, separated by line feeds
 * @param lastId id of the last event; empty if there is none
 * @param versions the weight versions of all events of the text so far
 */
public record TextDelta(
    int firstEventIndex,
    int eventCount,
    byte[] content,
    String lastId,
    Set<WeightVersion> versions) {

  /** An empty delta for a run without events. */
  public static final TextDelta NONE = new TextDelta(0, 0, new byte[0], "", Set.of());

  /** Copies the versions. */
  public TextDelta {
    versions = Set.copyOf(versions);
  }

  /** Returns the number of events of the text up to the end of this delta. */
  public int endEventIndex() {
    return firstEventIndex + eventCount;
  }
}
