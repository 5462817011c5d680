package org.carobhoist.core.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.manifest.EngineSpec;
import org.carobhoist.core.membership.ServerEntry;

/** The runs that a coordinator has placed at one engine, and the engine's measured speed. */
final class EngineLoad {

  /** Weight of a new measurement in the moving average of the time between events. */
  private static final double INTERVAL_WEIGHT = 0.3;

  /** Age at which a measurement is ignored, so that an engine that has recovered is used again. */
  private static final Duration MEASUREMENT_LIFETIME = Duration.ofSeconds(6);

  private static final WeightVersion NO_VERSION = new WeightVersion(0);

  private final Duration initialInterval;
  private final Set<ItemState> items = new HashSet<>();
  private ServerEntry entry;
  private EngineSpec spec;
  private final Map<String, WeightVersion> versions = new HashMap<>();
  private double intervalNanos;
  private Duration measuredAt = Duration.ZERO;
  private Duration pausedUntil = Duration.ZERO;

  EngineLoad(ServerEntry entry, EngineSpec spec, Duration initialInterval) {
    this.entry = entry;
    this.spec = spec;
    this.initialInterval = initialInterval;
    this.intervalNanos = initialInterval.toNanos();
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

  /** Updates the average time between events from a number of events of one run. */
  void onProgress(int events, Duration elapsed, Duration now) {
    double interval = (double) elapsed.toNanos() / events;
    intervalNanos =
        isMeasured(now) ? intervalNanos + INTERVAL_WEIGHT * (interval - intervalNanos) : interval;
    measuredAt = now;
  }

  /** Returns the expected time between two events of a run. */
  Duration eventInterval(Duration now) {
    return isMeasured(now) ? Duration.ofNanos((long) intervalNanos) : initialInterval;
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

  /** Returns whether an item may need more memory than the engine has. */
  boolean isExceededBy(JobItem item) {
    return (long) item.promptTokens() + item.maxTokens() > spec.memoryTokens();
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

  private boolean isMeasured(Duration now) {
    return !measuredAt.isZero() && now.minus(measuredAt).compareTo(MEASUREMENT_LIFETIME) < 0;
  }
}
