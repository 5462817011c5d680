package org.carobhoist.server.sidecar;

import java.util.ArrayList;
import java.util.List;

/** Extracts the data lines from a stream of server-sent events. */
final class EventStreamParser {

  private static final String DATA = "data:";
  private static final String END_MARK = "[DONE]";

  private final StringBuilder buffer = new StringBuilder();
  private boolean sawEndMark;

  /** Adds a chunk of the stream; returns the events that it completes, without the end mark. */
  List<String> feed(String part) {
    buffer.append(part);
    List<String> events = new ArrayList<>();
    for (int end = buffer.indexOf("\n"); end >= 0; end = buffer.indexOf("\n")) {
      String line = buffer.substring(0, end).trim();
      buffer.delete(0, end + 1);
      if (line.startsWith(DATA)) {
        add(line.substring(DATA.length()).trim(), events);
      }
    }
    return events;
  }

  /** Returns whether the end mark has been received. */
  boolean sawEndMark() {
    return sawEndMark;
  }

  private void add(String event, List<String> events) {
    if (event.equals(END_MARK)) {
      sawEndMark = true;
    } else {
      events.add(event);
    }
  }
}
