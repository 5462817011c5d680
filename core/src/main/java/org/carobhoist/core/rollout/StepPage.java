package org.carobhoist.core.rollout;

import java.util.List;
import org.carobhoist.core.common.WeightVersion;

/**
 * Complete groups of a step that are delivered to a trainer in one response.
 *
 * @param key the step
 * @param cursor the cursor of the request that this page answers; the trainer drops the page if its
 *     cursor has changed since
 * @param checkedVersion the trainer's weight version against which staleness was checked; the
 *     trainer drops the page if its version has changed since
 * @param groups complete groups that the cursor doesn't hold
 */
public record StepPage(
    StepKey key, GroupCursor cursor, WeightVersion checkedVersion, List<CompleteGroup> groups) {

  /**
   * A complete group.
   *
   * @param group number of the group
   * @param samples the samples of the group, in order of their index
   */
  public record CompleteGroup(int group, List<FinishedSample> samples) {}
}
