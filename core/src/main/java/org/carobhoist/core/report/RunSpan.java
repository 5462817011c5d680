package org.carobhoist.core.report;

import java.time.Duration;
import java.time.Instant;

/**
 * One run of an item at an engine.
 *
 * @param engine where it ran
 * @param placedAt when the coordinator gave it to the engine
 * @param firstEvent events that the item had before
 * @param endedAt when it ended; the placing itself while that isn't known
 * @param events events that the item had then
 * @param finished whether the item's text was whole
 */
record RunSpan(
    String engine,
    Instant placedAt,
    int firstEvent,
    Instant endedAt,
    int events,
    boolean finished) {

  /** Returns a run that has just begun. */
  static RunSpan begun(String engine, Instant at, int events) {
    return new RunSpan(engine, at, events, at, events, false);
  }

  /** Returns this run as it ended. */
  RunSpan ended(Instant at, int total, boolean whole) {
    return new RunSpan(engine, placedAt, firstEvent, at, total, whole);
  }

  Duration length() {
    return Duration.between(placedAt, endedAt);
  }

  int made() {
    return events - firstEvent;
  }
}
