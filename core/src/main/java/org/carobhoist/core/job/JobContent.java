package org.carobhoist.core.job;

import java.util.List;
import org.carobhoist.core.common.WeightVersion;

/**
 * What a submitter asks for.
 *
 * @param step number of the training step; negative where the job is none
 * @param model the model; empty if the submitter names none
 * @param minVersion the oldest weight version that may generate its tokens
 * @param wantedGroups how many whole groups the submitter waits for; 0 for all items
 * @param items the items, in the submitter's order
 */
public record JobContent(
    long step, String model, WeightVersion minVersion, int wantedGroups, List<JobItem> items) {

  /** Copies the items. */
  public JobContent {
    items = List.copyOf(items);
  }
}
