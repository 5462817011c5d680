package org.carobhoist.core.report;

import java.time.Duration;
import java.time.Instant;

/**
 * One run of an item on an engine.
 *
 * @param engine engine that ran it
 * @param placedAt when the coordinator assigned the item to the engine
 * @param eventsAtStart number of events that the item had at the start of the run
 * @param endedAt when the run ended; equal to {@code placedAt} while the end is unknown
 * @param eventsAtEnd number of events that the item had at the end of the run
 * @param finished whether the item was complete at the end of the run
 */
record RunSpan(
    String engine,
    Instant placedAt,
    int eventsAtStart,
    Instant endedAt,
    int eventsAtEnd,
    boolean finished) {

  /** Returns a run whose end is unknown. */
  static RunSpan started(String engine, Instant at, int events) {
    return new RunSpan(engine, at, events, at, events, false);
  }

  /** Returns a copy of this run with its end. */
  RunSpan withEnd(Instant at, int eventCount, boolean complete) {
    return new RunSpan(engine, placedAt, eventsAtStart, at, eventCount, complete);
  }

  Duration duration() {
    return Duration.between(placedAt, endedAt);
  }

  int newEvents() {
    return eventsAtEnd - eventsAtStart;
  }
}
