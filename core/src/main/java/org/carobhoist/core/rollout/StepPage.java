package org.carobhoist.core.rollout;

import java.util.List;
import org.carobhoist.core.common.WeightVersion;

/**
 * Whole groups for a trainer.
 *
 * @param key the step
 * @param cursor the cursor that this page answers; the trainer drops the page if its own differs
 * @param checkedVersion the trainer's version against which staleness was checked; the trainer
 *     drops the page if it has moved on
 * @param groups whole groups that the cursor doesn't hold
 */
public record StepPage(
    StepKey key, GroupCursor cursor, WeightVersion checkedVersion, List<WholeGroup> groups) {

  /**
   * A whole group.
   *
   * @param group the group
   * @param samples one sample for each index, in order
   */
  public record WholeGroup(int group, List<FinishedSample> samples) {}
}
