package org.carobhoist.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;

/**
 * The undecided counts of all gateways at the coordinator. Counts of an incarnation only grow, so
 * repeated and reordered reports have no effect, and counts of a gateway that has ended are kept.
 */
final class UsageAggregator {

  private final Map<SourceKey, TreeMap<Long, Map<AccountName, Long>>> sources =
      new LinkedHashMap<>();
  private long decidedThrough = Long.MIN_VALUE;
  private boolean changed;

  private record SourceKey(InstanceId instance, Incarnation incarnation) {}

  /** Removes all counts. */
  void clear() {
    sources.clear();
    decidedThrough = Long.MIN_VALUE;
    changed = false;
  }

  /** Adds the counts of a report or of a checkpoint. */
  void add(UsageSource source) {
    SourceKey key = new SourceKey(source.instance(), source.incarnation());
    source
        .windows()
        .forEach(
            (window, counts) -> {
              if (window > decidedThrough) {
                addWindow(key, window, counts);
              }
            });
  }

  private void addWindow(SourceKey key, long window, Map<AccountName, Long> counts) {
    Map<AccountName, Long> known =
        sources
            .computeIfAbsent(key, k -> new TreeMap<>())
            .computeIfAbsent(window, w -> new HashMap<>());
    counts.forEach(
        (account, count) -> {
          if (count > known.getOrDefault(account, 0L)) {
            known.put(account, count);
            changed = true;
          }
        });
  }

  /** Returns the sums of a window over all gateways, by account. */
  SortedMap<AccountName, Long> sums(long window) {
    SortedMap<AccountName, Long> out = new TreeMap<>();
    sources
        .values()
        .forEach(
            windows ->
                windows
                    .getOrDefault(window, Map.of())
                    .forEach((account, count) -> out.merge(account, count, Long::sum)));
    return out;
  }

  /** Called when windows up to this one are decided; drops their counts. */
  void onDecided(long window) {
    decidedThrough = Math.max(decidedThrough, window);
    sources.values().forEach(windows -> windows.headMap(decidedThrough, true).clear());
    sources.values().removeIf(Map::isEmpty);
  }

  /** Returns whether counts were added since the last call of {@link #takeSources}. */
  boolean isChanged() {
    return changed;
  }

  /** Called when a checkpoint of the counts may not have been stored. */
  void markChanged() {
    changed = true;
  }

  /** Returns all undecided counts for a checkpoint. */
  List<UsageSource> takeSources() {
    changed = false;
    List<UsageSource> out = new ArrayList<>();
    sources.forEach(
        (key, windows) ->
            out.add(new UsageSource(key.instance(), key.incarnation(), copy(windows))));
    return out;
  }

  private static Map<Long, Map<AccountName, Long>> copy(
      SortedMap<Long, Map<AccountName, Long>> windows) {
    Map<Long, Map<AccountName, Long>> out = new TreeMap<>();
    windows.forEach((window, counts) -> out.put(window, Map.copyOf(counts)));
    return out;
  }
}
