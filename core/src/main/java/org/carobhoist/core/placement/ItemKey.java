package org.carobhoist.core.placement;

import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;

/**
 * Identifies an item of a job; the same item id may be submitted again in a later job.
 *
 * @param job the job
 * @param item the item's id within the job
 */
public record ItemKey(JobId job, ItemId item) {}
