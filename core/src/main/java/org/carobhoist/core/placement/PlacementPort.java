package org.carobhoist.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.membership.ServerEntry;

/**
 * Operations that a {@link JobCoordinator} requires from its process. Messages to runners may be
 * lost.
 */
public interface PlacementPort {

  /**
   * A process that sends items to engines and reads their streams.
   *
   * @param id its instance id
   * @param zone its availability zone
   * @param milliCores CPU capacity available to the instance in thousandths of a core; 0 if unknown
   */
  record Runner(InstanceId id, Zone zone, int milliCores) {}

  /** Returns the engines of a service that accept work. */
  Collection<ServerEntry> engines(ServiceName service);

  /**
   * Returns whether the engine's weights currently allow runs of a model; of any model if the name
   * is empty.
   */
  boolean isInRotation(InstanceId engine, String model);

  /**
   * Returns whether an engine is about to load another version of a model, as soon as its runs that
   * need a single version have ended.
   */
  boolean awaitsLoad(InstanceId engine, String model);

  /** Returns the runners that are reachable and not shutting down. */
  Collection<Runner> runners();

  /** Starts a run at a runner. */
  void start(InstanceId runner, RunOrder order);

  /** Cancels a run at a runner, which reports the end of the run. */
  void cancel(InstanceId runner, long run);

  /** Publishes a result unless the item already has one. */
  void publish(JobId job, ItemResult result);

  /**
   * Publishes the result of a complete text, after the reward call if the item has one. Does
   * nothing if this process is already doing so.
   */
  void publishCompleted(Job job, JobItem item, RunText text);

  /**
   * Publishes another job's result for an item that is submitted again.
   *
   * @param scored whether the result's score is valid for the item too; otherwise its text is
   *     scored again
   */
  void reuse(Job job, JobItem item, ItemResult former, boolean scored);

  /**
   * Stores unfinished texts, and deletes those of items that are done. The future completes on the
   * decision thread; if it fails, the append may have been carried out or not.
   */
  CompletableFuture<Void> storeCheckpoints(List<TextCheckpoint> texts, List<ItemKey> obsolete);

  /** Returns the result that marks an item as given up. */
  ItemResult givenUpResult(ItemId item);

  /** Called when a runner reports that an engine has announced its shutdown. */
  void onEngineLeaving(InstanceId engine);

  /** Logs a decision on an item. */
  void logDecision(Decision decision, JobId job, ItemId item, Object... fields);

  /** Logs how many items of a service wait for each cause. */
  void logWaiting(ServiceName service, Map<WaitCause, Integer> causes);

  /** Decisions that are logged. */
  enum Decision {
    /** The item was assigned to an engine. */
    PLACED,
    /** A run ended without a result. */
    RUN_ENDED,
    /** A run was cancelled so that its item can be placed at another engine. */
    MOVED,
    /** The result or text of a former job is published again. */
    REUSED,
    /** The text was dropped because no engine can continue it; the item begins again. */
    TEXT_DROPPED,
    /** The item was given up. */
    GIVEN_UP
  }
}
