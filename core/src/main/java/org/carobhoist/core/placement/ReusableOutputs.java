package org.carobhoist.core.placement;

import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobView;

/**
 * Output of earlier jobs for an item that is submitted again: a result that can be published
 * unchanged, a complete text that only needs the score of the new job's reward call, or the
 * beginning of a text. Only jobs of one account, or jobs without an account, share outputs.
 */
final class ReusableOutputs {

  private final JobView view;
  private final TextCache cache = new TextCache();

  ReusableOutputs(JobView view) {
    this.view = view;
  }

  /** Keeps the text of an item whose job has ended, for reuse by a later job. */
  void keep(Job job, ItemId item, RunText text) {
    cache.put(key(job, item), text);
  }

  /**
   * Returns another job of the same account and service whose result for the item satisfies the
   * version constraints of the given job.
   */
  Optional<Job> findJobWithResult(Job job, JobItem item) {
    WeightVersion minVersion = job.content().minVersion();
    boolean singleVersion = job.head().rules().singleVersion();
    return view.jobs().stream()
        .filter(j -> j != job)
        .filter(j -> j.head().account().equals(job.head().account()))
        .filter(j -> j.head().service().equals(job.head().service()))
        .filter(j -> j.result(item.id()).filter(r -> r.fits(minVersion, singleVersion)).isPresent())
        .findFirst();
  }

  /**
   * Removes the item's kept text and returns it if it satisfies the job's version constraints. The
   * text is either the beginning of the output, which a run can continue, or complete.
   */
  Optional<RunText> takeText(Job job, JobItem item) {
    WeightVersion minVersion = job.content().minVersion();
    boolean singleVersion = job.head().rules().singleVersion();
    return cache.take(key(job, item.id())).filter(t -> t.fits(minVersion, singleVersion));
  }

  private static TextCache.Key key(Job job, ItemId item) {
    return new TextCache.Key(job.head().account(), item);
  }

  /**
   * Returns whether the former job's result can be reused with its score. A score answers one
   * reward call, so a call with another id must be made anew.
   */
  static boolean hasValidScore(Job former, JobItem item) {
    if (item.reward().isEmpty()) {
      return true;
    }
    return former
        .item(item.id())
        .flatMap(JobItem::reward)
        .filter(r -> r.isSameAs(item.reward().get()))
        .isPresent();
  }
}
