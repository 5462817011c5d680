package org.carobhoist.core.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.capacity.CapacityEstimator;
import org.carobhoist.core.capacity.CapacityPolicy;
import org.carobhoist.core.capacity.LatencySums;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.manifest.EngineSpec;
import org.carobhoist.core.membership.ServerEntry;

/** The runs that a coordinator has placed at one engine, and the engine's measured speed. */
final class EngineLoad {

  private static final WeightVersion NO_VERSION = new WeightVersion(0);

  private final Duration initialInterval;
  private final Set<ItemState> items = new HashSet<>();
  private ServerEntry entry;
  private EngineSpec spec;
  private final Map<String, WeightVersion> versions = new HashMap<>();
  private final CapacityEstimator capacity = new CapacityEstimator(CapacityPolicy.ENGINES);
  private Duration pausedUntil = Duration.ZERO;

  EngineLoad(ServerEntry entry, EngineSpec spec, Duration initialInterval) {
    this.entry = entry;
    this.spec = spec;
    this.initialInterval = initialInterval;
  }

  /** Updates the registry entry and the manifest's description of the engine. */
  void update(ServerEntry newEntry, EngineSpec newSpec) {
    entry = newEntry;
    spec = newSpec;
  }

  ServerEntry entry() {
    return entry;
  }

  /** Returns the newest version of a model that the engine has registered or reported. */
  WeightVersion version(String model) {
    WeightVersion registered = entry.versions().getOrDefault(model, NO_VERSION);
    WeightVersion reported = versions.getOrDefault(model, NO_VERSION);
    return registered.compareTo(reported) > 0 ? registered : reported;
  }

  /** Called when the engine reports the version of a model in a stream or a report. */
  void onVersion(String model, WeightVersion reported) {
    versions.merge(model, reported, (a, b) -> a.compareTo(b) > 0 ? a : b);
  }

  void add(ItemState item) {
    items.add(item);
  }

  void remove(ItemState item) {
    items.remove(item);
  }

  Set<ItemState> items() {
    return items;
  }

  /** Updates the time between events from a number of events of one run. */
  void onProgress(int events, Duration elapsed, Duration now) {
    Duration interval = elapsed.dividedBy(events);
    capacity.onSums(LatencySums.ofLatency(items.size(), interval), spec.slots(), now);
  }

  /** Returns the time between two events of a run at the load of late. */
  Duration eventInterval(Duration now) {
    double nanos = capacity.recentNanos(now);
    return nanos > 0 ? Duration.ofNanos((long) nanos) : initialInterval;
  }

  /** Returns the expected time between two events of a run with one more run, if a slot is free. */
  double expectedIntervalNanos(Duration now) {
    int runs = Math.min(items.size() + 1, spec.slots());
    return capacity.expectedNanos(runs, spec.slots(), initialInterval.toNanos(), now);
  }

  double initialIntervalNanos() {
    return initialInterval.toNanos();
  }

  /** Returns how many runs the engine may have if it is clearly slower than others; at least 1. */
  long runLimit(double slotShare, Duration now) {
    double limit = Math.min(slotShare * spec.slots(), capacity.limit(spec.slots(), now));
    return Math.max(1, Math.round(limit));
  }

  /** Assigns no new runs to the engine until the given time; never shortens a longer pause. */
  void pause(Duration until) {
    if (until.compareTo(pausedUntil) > 0) {
      pausedUntil = until;
    }
  }

  /**
   * Returns whether the engine can accept another text of the given expected size: it isn't paused
   * and has a free slot and enough memory. An idle engine accepts a text of any size.
   */
  boolean hasRoom(long tokens, double memoryShare, Duration now) {
    if (isPaused(now) || items.size() >= spec.slots()) {
      return false;
    }
    long used = items.stream().mapToLong(i -> i.expectedTokens(spec.tokensPerEvent())).sum();
    return items.isEmpty() || used + tokens <= memoryShare * spec.memoryTokens();
  }

  boolean isPaused(Duration now) {
    return now.compareTo(pausedUntil) < 0;
  }

  int tokensPerEvent() {
    return spec.tokensPerEvent();
  }

  int freeSlots() {
    return spec.slots() - items.size();
  }
}
