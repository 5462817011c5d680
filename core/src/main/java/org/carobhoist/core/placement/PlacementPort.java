package org.carobhoist.core.placement;

import java.util.Collection;
import java.util.Map;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.membership.ServerEntry;

/** What a {@link JobCoordinator} asks of its surroundings. Messages to runners may be lost. */
public interface PlacementPort {

  /**
   * A process that can run items.
   *
   * @param id its instance
   * @param zone its availability zone
   * @param milliCores processor time that its machine has, in thousandths of a core; 0 if unknown
   */
  record Runner(InstanceId id, Zone zone, int milliCores) {}

  /** Returns the engines of a service that take work. */
  Collection<ServerEntry> engines(ServiceName service);

  /**
   * Returns whether an engine may be given runs of a model now, as far as its weights are
   * concerned; of any model if it is empty.
   */
  boolean isInRotation(InstanceId engine, String model);

  /** Returns the runners that can be reached and don't leave. */
  Collection<Runner> runners();

  /** Starts a run at a runner. */
  void start(InstanceId runner, RunOrder order);

  /** Cancels a run at a runner; its end comes back as a report. */
  void cancel(InstanceId runner, long run);

  /** Lists a result, unless its item is listed already. */
  void list(JobId job, ItemResult result);

  /**
   * Lists the result of a text that is complete, after its reward call where the item has one; does
   * nothing if this process is about to do so already.
   */
  void finish(Job job, JobItem item, RunText text);

  /**
   * Lists what another job's result holds for an item that comes again.
   *
   * @param scored whether the result's score is one for the item too; else its text is scored anew
   */
  void reuse(Job job, JobItem item, ItemResult former, boolean scored);

  /** Returns the result of an item that is given up. */
  ItemResult dead(ItemId item);

  /** Takes an engine's own word, brought by a runner, that it leaves. */
  void onEngineLeaves(InstanceId engine);

  /** Notes a decision on an item. */
  void note(Decision decision, JobId job, ItemId item, Object... fields);

  /** Notes how many items of a service wait for what. */
  void noteWaiting(ServiceName service, Map<WaitCause, Integer> causes);

  /** Decisions that are worth a line in the log. */
  enum Decision {
    /** The item runs at an engine. */
    PLACED,
    /** A run ended without a result. */
    RUN_ENDED,
    /** A run is taken off its engine. */
    MOVED,
    /** A result of a former job is listed again. */
    REUSED,
    /** The item is given up. */
    GIVEN_UP
  }
}
