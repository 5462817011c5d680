package org.carobhoist.server.gateway.job;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobListener;
import org.carobhoist.core.placement.RunText;
import org.carobhoist.core.reward.RewardCallScheduler;
import org.carobhoist.core.reward.RewardKey;
import org.carobhoist.platform.JobJson;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Publishes the results of completed texts. If the item has a reward call, the call is made first
 * and its score becomes part of the result. A text is kept until any process has published a result
 * of its item, or until its job has ended.
 */
public final class CompletedTextPublisher implements JobListener {

  private final RewardCallScheduler rewardCalls;
  private final ResultPublisher publisher;
  private final Map<RewardKey, Runnable> callbacks = new HashMap<>();

  /** Creates a publisher that scores texts by reward calls before it publishes them. */
  public CompletedTextPublisher(RewardCallScheduler rewardCalls, ResultPublisher publisher) {
    this.rewardCalls = rewardCalls;
    this.publisher = publisher;
  }

  /**
   * Publishes the result of a text. If that is already in progress for the item, only registers the
   * callback.
   *
   * @param timeLeft time until the item may be given up
   * @param done runs once a result of the item has been published or its job has ended
   */
  public void publish(JobId job, JobItem item, RunText text, Duration timeLeft, Runnable done) {
    RewardKey key = new RewardKey(job, item.id());
    Runnable previous = callbacks.get(key);
    if (previous != null) {
      callbacks.put(
          key,
          () -> {
            previous.run();
            done.run();
          });
      return;
    }
    callbacks.put(key, done);
    if (item.reward().isEmpty()) {
      store(key, completed(item, text, Optional.empty()));
      return;
    }
    rewardCalls.begin(
        key,
        item.reward().get(),
        timeLeft,
        score ->
            store(
                key,
                score.isPresent() ? completed(item, text, score) : JobJson.givenUp(item.id())));
  }

  /** Returns the number of texts whose results have not been published yet. */
  int size() {
    return callbacks.size();
  }

  @Override
  public void onResultPublished(Job job, ItemResult result) {
    RewardKey key = new RewardKey(job.id(), result.item());
    rewardCalls.end(key);
    removeAndNotify(key);
  }

  @Override
  public void onEnded(Job job) {
    rewardCalls.end(job.id());
    callbacks.keySet().stream()
        .filter(k -> k.job().equals(job.id()))
        .toList()
        .forEach(this::removeAndNotify);
  }

  private void store(RewardKey key, ItemResult result) {
    publisher
        .publish(key.job(), result)
        .whenComplete(
            Callbacks.reported(
                (published, failure) -> {
                  if (failure == null) {
                    removeAndNotify(key);
                  } else {
                    EventLog.error(
                        LogEvent.RESULT_UNPUBLISHED, failure, "job", key.job(), "item", key.item());
                  }
                }));
  }

  private void removeAndNotify(RewardKey key) {
    Runnable done = callbacks.remove(key);
    if (done != null) {
      done.run();
    }
  }

  private static ItemResult completed(JobItem item, RunText text, Optional<String> score) {
    return JobJson.completed(item.id(), text.content(), text.versions(), score);
  }
}
