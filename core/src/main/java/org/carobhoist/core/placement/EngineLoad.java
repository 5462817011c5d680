package org.carobhoist.core.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.manifest.EngineSpec;
import org.carobhoist.core.membership.ServerEntry;

/** What a coordinator has at one engine, and how fast the engine turned out to be. */
final class EngineLoad {

  /** Weight of a new measurement of the time between events. */
  private static final double GAP_GAIN = 0.3;

  /** Time after which a measurement no longer counts, so that a recovered engine is used again. */
  private static final Duration MEMORY = Duration.ofSeconds(6);

  private static final WeightVersion NONE = new WeightVersion(0);

  private final Duration initialGap;
  private final Set<ItemState> items = new HashSet<>();
  private ServerEntry entry;
  private EngineSpec spec;
  private final Map<String, WeightVersion> versions = new HashMap<>();
  private double gapNanos;
  private Duration measuredAt = Duration.ZERO;
  private Duration pausedUntil = Duration.ZERO;

  EngineLoad(ServerEntry entry, EngineSpec spec, Duration initialGap) {
    this.entry = entry;
    this.spec = spec;
    this.initialGap = initialGap;
    this.gapNanos = initialGap.toNanos();
  }

  /** Takes what the registry and the manifest say now. */
  void update(ServerEntry newEntry, EngineSpec newSpec) {
    entry = newEntry;
    spec = newSpec;
  }

  ServerEntry entry() {
    return entry;
  }

  /** Returns the newest version of a model that the engine is known to have had. */
  WeightVersion version(String model) {
    WeightVersion registered = entry.versions().getOrDefault(model, NONE);
    WeightVersion named = versions.getOrDefault(model, NONE);
    return registered.compareTo(named) > 0 ? registered : named;
  }

  /** Takes the version of a model that the engine named in a stream or a report. */
  void onVersion(String model, WeightVersion named) {
    versions.merge(model, named, (a, b) -> a.compareTo(b) > 0 ? a : b);
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

  /** Takes the time that a number of events of one run took. */
  void onProgress(int events, Duration took, Duration now) {
    double gap = (double) took.toNanos() / events;
    gapNanos = isMeasured(now) ? gapNanos + GAP_GAIN * (gap - gapNanos) : gap;
    measuredAt = now;
  }

  /** Returns the expected time between two events of a run. */
  Duration gap(Duration now) {
    return isMeasured(now) ? Duration.ofNanos((long) gapNanos) : initialGap;
  }

  /** Gives the engine no new runs for a while. */
  void pause(Duration until) {
    if (until.compareTo(pausedUntil) > 0) {
      pausedUntil = until;
    }
  }

  /** Returns whether there is a free slot, and memory for one more text of the given size. */
  boolean hasRoom(long tokens, double memoryShare, Duration now) {
    if (isPaused(now) || items.size() >= spec.slots()) {
      return false;
    }
    long used = items.stream().mapToLong(i -> i.expectedTokens(spec.eventTokens())).sum();
    return items.isEmpty() || used + tokens <= memoryShare * spec.memoryTokens();
  }

  boolean isPaused(Duration now) {
    return now.compareTo(pausedUntil) < 0;
  }

  int eventTokens() {
    return spec.eventTokens();
  }

  int freeSlots() {
    return spec.slots() - items.size();
  }

  private boolean isMeasured(Duration now) {
    return !measuredAt.isZero() && now.minus(measuredAt).compareTo(MEMORY) < 0;
  }
}
