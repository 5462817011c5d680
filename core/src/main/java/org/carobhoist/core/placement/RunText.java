package org.carobhoist.core.placement;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import org.carobhoist.core.common.WeightVersion;

/** The text of an item, as far as it was generated: the data of its events in their order. */
public final class RunText {

  private static final byte SEPARATOR = '\n';

  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private final Set<WeightVersion> versions = new HashSet<>();
  private int events;
  private String lastId = "";

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
    if (events > 0) {
      content.write(SEPARATOR);
    }
    content.writeBytes(data);
    events++;
    lastId = id;
    versions.add(version);
  }

  /** Adds the events that are not known yet; returns whether the delta leaves no gap. */
  public boolean append(TextDelta delta) {
    if (delta.skipped() > events) {
      return false;
    }
    if (delta.skipped() < events) {
      return delta.total() <= events;
    }
    if (delta.events() > 0) {
      if (events > 0) {
        content.write(SEPARATOR);
      }
      content.writeBytes(delta.content());
      events += delta.events();
      lastId = delta.lastId();
    }
    versions.addAll(delta.versions());
    return true;
  }

  /** Returns where the events after the first ones begin in the content. */
  public TextDelta since(Mark mark) {
    byte[] all = content.toByteArray();
    int from = mark.events() > 0 && events > mark.events() ? mark.bytes() + 1 : mark.bytes();
    return new TextDelta(
        mark.events(),
        events - mark.events(),
        Arrays.copyOfRange(all, from, all.length),
        lastId,
        versions);
  }

  /** Returns the whole text. */
  public TextDelta whole() {
    return since(Mark.START);
  }

  /** Returns the present end. */
  public Mark mark() {
    return new Mark(events, content.size());
  }

  /** Returns the number of events. */
  public int events() {
    return events;
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
    return content.toByteArray();
  }

  /** Returns whether the text may be continued for a job with the given bounds. */
  public boolean fits(WeightVersion minVersion, boolean singleVersion) {
    return versions.stream().allMatch(v -> v.compareTo(minVersion) >= 0)
        && (!singleVersion || versions.size() <= 1);
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
