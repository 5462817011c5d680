package org.carobhoist.core.reward;

import java.time.Duration;

/**
 * How reward calls are placed and repeated.
 *
 * @param callsPerEndpoint calls that one process has at an endpoint at most, at least 1
 * @param loadShare part of an endpoint's slots that may be taken before a call goes there, above 0
 *     and up to 1; the rest is left to callers that wait for their answer
 * @param patience time after which a call no longer heeds the load, which may be long out of date
 * @param placePeriod time between two looks for a place
 * @param firstTry time for the answer to the first try; grows by half with each failure
 * @param longestTry longest time for an answer
 * @param firstPause longest pause after the first failure; doubles with each further one
 * @param longestPause longest pause of all
 */
public record RewardPolicy(
    int callsPerEndpoint,
    double loadShare,
    Duration patience,
    Duration placePeriod,
    Duration firstTry,
    Duration longestTry,
    Duration firstPause,
    Duration longestPause) {

  /** The policy of every process. A call takes some 45 ms at an idle endpoint. */
  public static final RewardPolicy DEFAULT =
      new RewardPolicy(
          2,
          0.7,
          Duration.ofMillis(400),
          Duration.ofMillis(20),
          Duration.ofMillis(600),
          Duration.ofMillis(2_000),
          Duration.ofMillis(40),
          Duration.ofMillis(800));

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value lies outside its range
   */
  public RewardPolicy {
    if (callsPerEndpoint < 1 || loadShare <= 0 || loadShare > 1) {
      throw new IllegalArgumentException("reward policy out of range");
    }
  }
}
