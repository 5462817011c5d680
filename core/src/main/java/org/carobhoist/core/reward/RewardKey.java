package org.carobhoist.core.reward;

import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;

/**
 * Identifies the text that a reward call scores.
 *
 * @param job the job
 * @param item the item; another job may contain the same item, which then has a call of its own
 */
public record RewardKey(JobId job, ItemId item) {}
