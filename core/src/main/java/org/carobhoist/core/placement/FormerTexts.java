package org.carobhoist.core.placement;

import java.util.Optional;
import java.util.function.Function;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobView;

/**
 * What earlier jobs have left of an item that comes again: a result that can be listed as it is, a
 * whole text that only lacks the score of the new job's reward call, or the beginning of a text.
 */
final class FormerTexts {

  private final JobView view;
  private final Function<ItemResult, RunText> textOf;
  private final KeptTexts kept = new KeptTexts();

  /**
   * Creates a memory without texts.
   *
   * @param textOf returns the text of a result
   */
  FormerTexts(JobView view, Function<ItemResult, RunText> textOf) {
    this.view = view;
    this.textOf = textOf;
  }

  /** Keeps the text of an item whose job has ended. */
  void keep(ItemId item, RunText text) {
    kept.put(item, text);
  }

  /** Returns the result of another job that may stand in this one as it is. */
  Optional<ItemResult> result(Job job, JobItem item) {
    return former(job, item).filter(f -> isScoredFor(f, item)).flatMap(f -> f.result(item.id()));
  }

  /** Returns a text to go on from, or one that is whole. */
  Optional<RunText> text(Job job, JobItem item) {
    WeightVersion min = job.content().minVersion();
    boolean single = job.head().terms().singleVersion();
    Optional<RunText> whole = former(job, item).flatMap(f -> f.result(item.id())).map(textOf);
    whole.ifPresent(RunText::markComplete);
    return whole.isPresent() ? whole : kept.take(item.id()).filter(t -> t.fits(min, single));
  }

  private Optional<Job> former(Job job, JobItem item) {
    WeightVersion min = job.content().minVersion();
    boolean single = job.head().terms().singleVersion();
    return view.jobs().stream()
        .filter(j -> j != job && j.isWhole())
        .filter(j -> j.head().service().equals(job.head().service()))
        .filter(j -> j.result(item.id()).filter(r -> r.fits(min, single)).isPresent())
        .findFirst();
  }

  /** A score belongs to one call; a call with another id needs an answer of its own. */
  private static boolean isScoredFor(Job former, JobItem item) {
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
