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
 * Whole texts on their way to the list: first their reward call where the item has one, then the
 * store. A text stays here until its result is listed, by whichever process, or its job has ended.
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
   * Lists the result of a text; if that is under way, only its end is awaited.
   *
   * @param timeLeft time until the item may be given up
   * @param done runs once the item is listed or no longer wanted
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

  /** Returns the number of texts whose results aren't listed yet. */
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
