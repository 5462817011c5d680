package org.carobhoist.core.usage;

import java.util.Map;
import java.util.TreeMap;
import org.carobhoist.core.account.AccountName;

/**
 * Counts the requests of one gateway by window and account since the start of its incarnation.
 * Counts are kept until their window is decided.
 */
public final class UsageCounter {

  private final UsagePolicy policy;
  private final TreeMap<Long, Map<AccountName, Long>> windows = new TreeMap<>();
  private long decidedThrough = Long.MIN_VALUE;
  private boolean changed;
  private long missed;

  private UsageCounter(UsagePolicy policy) {
    this.policy = policy;
  }

  /** Returns a counter without counts. */
  public static UsageCounter create(UsagePolicy policy) {
    return new UsageCounter(policy);
  }

  /** Counts a request that a server began at the given time of the fleet. */
  public void count(AccountName account, long millis) {
    long window = policy.windowAt(millis);
    if (window <= decidedThrough) {
      missed++;
      return;
    }
    windows.computeIfAbsent(window, w -> new TreeMap<>()).merge(account, 1L, Long::sum);
    changed = true;
    while (windows.size() > policy.maxWindows()) {
      Map<AccountName, Long> oldest = windows.pollFirstEntry().getValue();
      missed += oldest.values().stream().mapToLong(Long::longValue).sum();
    }
  }

  /** Called when counts up to a window are no longer needed. */
  public void onDecided(long window) {
    decidedThrough = Math.max(decidedThrough, window);
    windows.headMap(decidedThrough, true).clear();
  }

  /** Returns whether something was counted since the last call of {@link #takeCounts}. */
  public boolean isChanged() {
    return changed;
  }

  /** Returns all undecided counts for a report. */
  public Map<Long, Map<AccountName, Long>> takeCounts() {
    changed = false;
    Map<Long, Map<AccountName, Long>> out = new TreeMap<>();
    windows.forEach((window, counts) -> out.put(window, Map.copyOf(counts)));
    return out;
  }

  /** Returns the number of undecided windows with counts. */
  public int windowCount() {
    return windows.size();
  }

  /** Returns the number of requests that came too late for their window or were dropped. */
  public long missedCount() {
    return missed;
  }
}
