package org.carobhoist.core.swap;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * Decides which of the engines that wait for new weights load next. A step accepts the version
 * before the trainer's, so an engine needn't load a version as soon as it is ordered. Engines whose
 * version is too old for an open job load first. Other engines load only until half of all engines
 * of the model have the newest version, and only if the pause costs their runs little. So the two
 * halves alternate: when a step arrives, one half can still serve it while the other one loads, and
 * an engine loads only every second version.
 */
public final class LoadScheduler {

  private final int minConcurrentLoads;
  private final double concurrentLoadShare;
  private final Duration maxShortRun;

  private LoadScheduler(int minConcurrentLoads, double concurrentLoadShare, Duration maxShortRun) {
    this.minConcurrentLoads = minConcurrentLoads;
    this.concurrentLoadShare = concurrentLoadShare;
    this.maxShortRun = maxShortRun;
  }

  /**
   * Creates a scheduler.
   *
   * @param minConcurrentLoads number of engines that may always load concurrently, at least 1
   * @param concurrentLoadShare share of all engines that may load concurrently, if that is more
   *     than {@code minConcurrentLoads}
   * @param maxShortRun an engine whose version is not too old may load only if its longest run is
   *     expected to end within this time
   */
  public static LoadScheduler create(
      int minConcurrentLoads, double concurrentLoadShare, Duration maxShortRun) {
    return new LoadScheduler(minConcurrentLoads, concurrentLoadShare, maxShortRun);
  }

  /**
   * An engine that waits to load.
   *
   * @param engine identifies the engine
   * @param version the weight version that it serves
   * @param required the newest version that an open job requires
   * @param runs number of its current runs
   * @param longestRemaining expected remaining time of the longest of them; zero if there is none
   */
  public record Candidate(
      InstanceId engine,
      WeightVersion version,
      WeightVersion required,
      int runs,
      Duration longestRemaining) {

    boolean isTooOld() {
      return version.compareTo(required) < 0;
    }
  }

  /**
   * Returns the engines that may load a model now.
   *
   * @param candidates the engines that wait to load it
   * @param loading number of engines that are loading, of any model
   * @param followers number of engines that follow the model, including candidates and loading
   *     engines
   * @param engines total number of engines
   */
  public List<InstanceId> next(
      Collection<Candidate> candidates, int loading, int followers, int engines) {
    int withNewest = followers - candidates.size();
    boolean halfIsNewest = 2 * withNewest >= followers;
    int maxConcurrentLoads = Math.max(minConcurrentLoads, (int) (concurrentLoadShare * engines));
    Comparator<Candidate> tooOldFirst = Comparator.comparing(c -> !c.isTooOld());
    return candidates.stream()
        .filter(
            c ->
                c.isTooOld() || (!halfIsNewest && c.longestRemaining().compareTo(maxShortRun) <= 0))
        .sorted(tooOldFirst.thenComparingInt(Candidate::runs).thenComparing(Candidate::engine))
        .limit(Math.max(0, maxConcurrentLoads - loading))
        .map(Candidate::engine)
        .toList();
  }
}
