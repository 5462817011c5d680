package org.carobhoist.core.placement;

import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobView;

/**
 * What earlier jobs have left of an item that comes again: a result that can be listed as it is, a
 * whole text that only lacks the score of the new job's reward call, or the beginning of a text.
 */
final class FormerTexts {

  private final JobView view;
  private final KeptTexts kept = new KeptTexts();

  FormerTexts(JobView view) {
    this.view = view;
  }

  /** Keeps the text of an item whose job has ended. */
  void keep(ItemId item, RunText text) {
    kept.put(item, text);
  }

  /** Returns the job whose result of an item fits this one. */
  Optional<Job> jobWithResult(Job job, JobItem item) {
    WeightVersion min = job.content().minVersion();
    boolean single = job.head().terms().singleVersion();
    return view.jobs().stream()
        .filter(j -> j != job && j.isWhole())
        .filter(j -> j.head().service().equals(job.head().service()))
        .filter(j -> j.result(item.id()).filter(r -> r.fits(min, single)).isPresent())
        .findFirst();
  }

  /** Returns a text to go on from, or one that is whole. */
  Optional<RunText> text(Job job, JobItem item) {
    WeightVersion min = job.content().minVersion();
    boolean single = job.head().terms().singleVersion();
    return kept.take(item.id()).filter(t -> t.fits(min, single));
  }

  /** A score belongs to one call; a call with another id needs an answer of its own. */
  static boolean isScoredFor(Job former, JobItem item) {
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
