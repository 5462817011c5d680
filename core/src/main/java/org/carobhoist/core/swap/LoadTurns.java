package org.carobhoist.core.swap;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * Which of the engines that wait for new weights load next. A step allows the version before the
 * trainer's, so an engine needn't load the moment a version is named: first come engines that are
 * too old for the jobs that are open. Of the others only as many load as bring half of the engines
 * to the newest version, and only where the runs lose little by the pause. So the engines take
 * turns by halves: when a step comes, one half still fits it while the other one loads, and an
 * engine loads every second version.
 */
public final class LoadTurns {

  private final int atOnce;
  private final Duration shortRun;

  private LoadTurns(int atOnce, Duration shortRun) {
    this.atOnce = atOnce;
    this.shortRun = shortRun;
  }

  /**
   * Returns the rule.
   *
   * @param atOnce engines that load at once, at least 1
   * @param shortRun a run that ends within this time is no reason not to load
   */
  public static LoadTurns create(int atOnce, Duration shortRun) {
    return new LoadTurns(atOnce, shortRun);
  }

  /**
   * An engine that waits to load.
   *
   * @param engine the engine
   * @param version the version that it serves
   * @param demanded the newest version that an open job demands
   * @param runs its runs
   * @param longestRun how long the longest of them is expected to go on; zero if there is none
   */
  public record Candidate(
      InstanceId engine,
      WeightVersion version,
      WeightVersion demanded,
      int runs,
      Duration longestRun) {

    boolean isTooOld() {
      return version.compareTo(demanded) < 0;
    }
  }

  /**
   * Returns the engines that may load now.
   *
   * @param loading how many engines load already
   * @param engines how many engines there are, the candidates and those that load included
   */
  public List<InstanceId> next(Collection<Candidate> candidates, int loading, int engines) {
    int newest = engines - candidates.size();
    boolean halfIsNewest = 2 * newest >= engines;
    Comparator<Candidate> tooOldFirst = Comparator.comparing(c -> !c.isTooOld());
    return candidates.stream()
        .filter(c -> c.isTooOld() || (!halfIsNewest && c.longestRun().compareTo(shortRun) <= 0))
        .sorted(tooOldFirst.thenComparingInt(Candidate::runs).thenComparing(Candidate::engine))
        .limit(Math.max(0, atOnce - loading))
        .map(Candidate::engine)
        .toList();
  }
}
