package org.carobhoist.core.job;

import java.util.List;
import org.carobhoist.core.common.WeightVersion;

/**
 * The content of a job as submitted.
 *
 * @param step number of the training step; negative if the job is no training step
 * @param model the model; empty if the submitter names none
 * @param minVersion the oldest weight version that may generate the tokens
 * @param wantedGroups number of complete groups that the submitter waits for; 0 for all items
 * @param items the items, in the submitter's order
 */
public record JobContent(
    long step, String model, WeightVersion minVersion, int wantedGroups, List<JobItem> items) {

  /** Copies the items. */
  public JobContent {
    items = List.copyOf(items);
  }
}
