package org.carobhoist.core.placement;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import org.carobhoist.core.common.WeightVersion;

/** The text of an item generated so far: the data of its events in order. */
public final class RunText {

  private static final byte SEPARATOR = '\n';

  /** Initial capacity; it doubles as the text grows. */
  private static final int INITIAL_CAPACITY_BYTES = 512;

  private byte[] content = new byte[INITIAL_CAPACITY_BYTES];
  private int size;
  private final Set<WeightVersion> versions = new HashSet<>();
  private int events;
  private String lastId = "";
  private boolean complete;

  private RunText() {}

  /** Returns a text without events. */
  public static RunText empty() {
    return new RunText();
  }

  /** Returns a text that consists of the given events, which must start at the first one. */
  public static RunText fromDelta(TextDelta whole) {
    RunText text = new RunText();
    text.append(whole);
    return text;
  }

  /** Appends an event. */
  public void add(String id, byte[] data, WeightVersion version) {
    appendData(data);
    events++;
    lastId = id;
    versions.add(version);
  }

  /**
   * Appends the events that are not known yet; returns whether the text now reaches the end of the
   * delta without a gap. A delta that starts at the first event replaces a shorter text: a runner
   * sends its whole text to a coordinator that takes over its runs.
   */
  public boolean append(TextDelta delta) {
    if (delta.firstEventIndex() == 0 && delta.endEventIndex() > events) {
      clear();
    }
    if (delta.firstEventIndex() > events) {
      return false;
    }
    if (delta.firstEventIndex() < events) {
      return delta.endEventIndex() <= events;
    }
    if (delta.eventCount() > 0) {
      appendData(delta.content());
      events += delta.eventCount();
      lastId = delta.lastId();
    }
    versions.addAll(delta.versions());
    return true;
  }

  /** Marks the text as complete: the engine ended its stream and no more events follow. */
  public void markComplete() {
    complete = true;
  }

  /** Returns whether the text is the item's complete output. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns the events after the given position. */
  public TextDelta deltaSince(Mark mark) {
    int from =
        mark.eventCount() > 0 && events > mark.eventCount() ? mark.bytes() + 1 : mark.bytes();
    return new TextDelta(
        mark.eventCount(),
        events - mark.eventCount(),
        Arrays.copyOfRange(content, from, size),
        lastId,
        versions);
  }

  /** Returns the whole text as a delta that starts at the first event. */
  public TextDelta toDelta() {
    return deltaSince(Mark.START);
  }

  /** Returns the current end of the text. */
  public Mark mark() {
    return new Mark(events, size);
  }

  /** Returns the number of events. */
  public int eventCount() {
    return events;
  }

  /** Returns the number of bytes. */
  public int size() {
    return size;
  }

  /** Returns the id of the last event; empty if there is none. */
  public String lastId() {
    return lastId;
  }

  /** Returns the versions of the weights that generated the events. */
  public Set<WeightVersion> versions() {
    return Set.copyOf(versions);
  }

  /** Returns the data of all events, separated by line feeds. */
  public byte[] content() {
    return Arrays.copyOf(content, size);
  }

  /** Returns whether a job with the given version constraints may continue the text. */
  public boolean fits(WeightVersion minVersion, boolean singleVersion) {
    return versions.stream().allMatch(v -> v.compareTo(minVersion) >= 0)
        && (!singleVersion || versions.size() <= 1);
  }

  private void clear() {
    size = 0;
    events = 0;
    lastId = "";
    versions.clear();
  }

  private void appendData(byte[] data) {
    int separator = events > 0 ? 1 : 0;
    int end = size + separator + data.length;
    if (end > content.length) {
      content = Arrays.copyOf(content, Math.max(end, 2 * content.length));
    }
    if (separator > 0) {
      content[size] = SEPARATOR;
    }
    System.arraycopy(data, 0, content, size + separator, data.length);
    size = end;
  }

  /**
   * A position in a text.
   *
   * @param eventCount number of events before the position
   * @param bytes number of content bytes before the position
   */
  public record Mark(int eventCount, int bytes) {

    /** The beginning of the text. */
    public static final Mark START = new Mark(0, 0);
  }
}
