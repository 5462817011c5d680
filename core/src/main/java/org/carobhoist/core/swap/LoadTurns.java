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

  private final int leastAtOnce;
  private final double shareAtOnce;
  private final Duration shortRun;

  private LoadTurns(int leastAtOnce, double shareAtOnce, Duration shortRun) {
    this.leastAtOnce = leastAtOnce;
    this.shareAtOnce = shareAtOnce;
    this.shortRun = shortRun;
  }

  /**
   * Returns the rule.
   *
   * @param leastAtOnce engines that may always load at once, at least 1
   * @param shareAtOnce part of all engines that may load at once where that is more
   * @param shortRun a run that ends within this time is no reason not to load
   */
  public static LoadTurns create(int leastAtOnce, double shareAtOnce, Duration shortRun) {
    return new LoadTurns(leastAtOnce, shareAtOnce, shortRun);
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
   * Returns the engines that may load a model now.
   *
   * @param candidates those that wait to load it
   * @param loading how many engines load already, whatever model
   * @param followers how many engines follow the model, the candidates and those that load included
   * @param engines how many engines there are
   */
  public List<InstanceId> next(
      Collection<Candidate> candidates, int loading, int followers, int engines) {
    int newest = followers - candidates.size();
    boolean halfIsNewest = 2 * newest >= followers;
    int atOnce = Math.max(leastAtOnce, (int) (shareAtOnce * engines));
    Comparator<Candidate> tooOldFirst = Comparator.comparing(c -> !c.isTooOld());
    return candidates.stream()
        .filter(c -> c.isTooOld() || (!halfIsNewest && c.longestRun().compareTo(shortRun) <= 0))
        .sorted(tooOldFirst.thenComparingInt(Candidate::runs).thenComparing(Candidate::engine))
        .limit(Math.max(0, atOnce - loading))
        .map(Candidate::engine)
        .toList();
  }
}
