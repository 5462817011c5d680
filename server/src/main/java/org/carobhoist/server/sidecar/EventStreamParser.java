package org.carobhoist.server.sidecar;

import java.util.ArrayList;
import java.util.List;

/** Cuts a stream of server-sent events into the texts of their data lines. */
final class EventStreamParser {

  private static final String DATA = "data:";
  private static final String END_MARK = "[DONE]";

  private final StringBuilder rest = new StringBuilder();
  private boolean sawEndMark;

  /** Adds a part of the stream; returns the events that are now whole, without the end mark. */
  List<String> feed(String part) {
    rest.append(part);
    List<String> events = new ArrayList<>();
    for (int end = rest.indexOf("\n"); end >= 0; end = rest.indexOf("\n")) {
      String line = rest.substring(0, end).trim();
      rest.delete(0, end + 1);
      if (line.startsWith(DATA)) {
        add(line.substring(DATA.length()).trim(), events);
      }
    }
    return events;
  }

  /** Returns whether the stream has marked its end. */
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
