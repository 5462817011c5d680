package org.carobhoist.server.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobListener;
import org.carobhoist.core.placement.RunText;
import org.carobhoist.core.reward.RewardCalls;
import org.carobhoist.core.reward.RewardKey;
import org.carobhoist.platform.JobJson;

/**
 * Publishes the results of completed texts. If the item has a reward call, the call is made first
 * and its score becomes part of the result. A text is kept until any process has published a result
 * of its item, or until its job has ended.
 */
final class FinishedTexts implements JobListener {

  private final RewardCalls rewards;
  private final ResultLists lists;
  private final Map<RewardKey, Runnable> onListed = new HashMap<>();

  FinishedTexts(RewardCalls rewards, ResultLists lists) {
    this.rewards = rewards;
    this.lists = lists;
  }

  /**
   * Publishes the result of a text. If that is already in progress for the item, only registers the
   * callback.
   *
   * @param timeLeft time until the item may be given up
   * @param done runs once a result of the item has been published or its job has ended
   */
  void finish(JobId job, JobItem item, RunText text, Duration timeLeft, Runnable done) {
    RewardKey key = new RewardKey(job, item.id());
    Runnable before = onListed.get(key);
    if (before != null) {
      onListed.put(
          key,
          () -> {
            before.run();
            done.run();
          });
      return;
    }
    onListed.put(key, done);
    if (item.reward().isEmpty()) {
      list(key, completed(item, text, Optional.empty()));
      return;
    }
    rewards.begin(
        key,
        item.reward().get(),
        timeLeft,
        score ->
            list(key, score.isPresent() ? completed(item, text, score) : JobJson.dead(item.id())));
  }

  /** Returns the number of texts whose results have not been published yet. */
  int size() {
    return onListed.size();
  }

  @Override
  public void onListed(Job job, ItemResult result) {
    RewardKey key = new RewardKey(job.id(), result.item());
    rewards.end(key);
    settle(key);
  }

  @Override
  public void onEnded(Job job) {
    rewards.end(job.id());
    onListed.keySet().stream().filter(k -> k.job().equals(job.id())).toList().forEach(this::settle);
  }

  private void list(RewardKey key, ItemResult result) {
    lists.list(key.job(), result).thenRun(() -> settle(key));
  }

  private void settle(RewardKey key) {
    Runnable done = onListed.remove(key);
    if (done != null) {
      done.run();
    }
  }

  private static ItemResult completed(JobItem item, RunText text, Optional<String> score) {
    return JobJson.completed(item.id(), text.content(), text.versions(), score);
  }
}
