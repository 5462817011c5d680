package org.carobhoist.core.rollout;

import org.carobhoist.core.common.WeightVersion;

/**
 * A contiguous range of tokens that one weight version produced.
 *
 * @param version the weight version, as named by the engine's own stream
 * @param from index of the first token, inclusive
 * @param to index of the last token, exclusive; greater than {@code from}
 */
public record VersionSpan(WeightVersion version, int from, int to) {

  /**
   * Checks the range.
   *
   * @throws IllegalArgumentException if the span is empty or starts below 0
   */
  public VersionSpan {
    if (from < 0 || to <= from) {
      throw new IllegalArgumentException("empty span: " + from + " to " + to);
    }
  }
}
