package org.carobhoist.core.reward;

import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;

/**
 * Which text a reward call scores.
 *
 * @param job the job
 * @param item the item; the same one may come again in another job, with a call of its own
 */
public record RewardKey(JobId job, ItemId item) {}
