package org.carobhoist.core.placement;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import org.carobhoist.core.common.WeightVersion;

/** The text of an item, as far as it was generated: the data of its events in their order. */
public final class RunText {

  private static final byte SEPARATOR = '\n';

  /** Bytes for which there is room at first; it doubles as the text grows. */
  private static final int FIRST_BYTES = 512;

  private byte[] content = new byte[FIRST_BYTES];
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

  /** Returns a text that begins with the given events. */
  public static RunText of(TextDelta whole) {
    RunText text = new RunText();
    text.append(whole);
    return text;
  }

  /** Adds an event. */
  public void add(String id, byte[] data, WeightVersion version) {
    write(data);
    events++;
    lastId = id;
    versions.add(version);
  }

  /**
   * Adds the events that are not known yet; returns whether the delta leaves no gap. A whole text
   * takes the place of a shorter one, as a runner sends it to a coordinator that takes it over.
   */
  public boolean append(TextDelta delta) {
    if (delta.skipped() == 0 && delta.total() > events) {
      clear();
    }
    if (delta.skipped() > events) {
      return false;
    }
    if (delta.skipped() < events) {
      return delta.total() <= events;
    }
    if (delta.events() > 0) {
      write(delta.content());
      events += delta.events();
      lastId = delta.lastId();
    }
    versions.addAll(delta.versions());
    return true;
  }

  /** Notes that the engine has ended its stream: there are no more events. */
  public void markComplete() {
    complete = true;
  }

  /** Returns whether the text is an item's whole output. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns where the events after the first ones begin in the content. */
  public TextDelta since(Mark mark) {
    int from = mark.events() > 0 && events > mark.events() ? mark.bytes() + 1 : mark.bytes();
    return new TextDelta(
        mark.events(),
        events - mark.events(),
        Arrays.copyOfRange(content, from, size),
        lastId,
        versions);
  }

  /** Returns the whole text. */
  public TextDelta whole() {
    return since(Mark.START);
  }

  /** Returns the present end. */
  public Mark mark() {
    return new Mark(events, size);
  }

  /** Returns the number of events. */
  public int events() {
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

  /** Returns the weight versions that generated the events. */
  public Set<WeightVersion> versions() {
    return Set.copyOf(versions);
  }

  /** Returns the data of all events, with a line feed between two of them. */
  public byte[] content() {
    return Arrays.copyOf(content, size);
  }

  /** Returns whether the text may be continued for a job with the given bounds. */
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

  private void write(byte[] data) {
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
   * @param events events before it
   * @param bytes bytes of content before it
   */
  public record Mark(int events, int bytes) {

    /** The beginning. */
    public static final Mark START = new Mark(0, 0);
  }
}
