package org.carobhoist.core.placement;

import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;

/**
 * A runner's report on the progress or the end of a run.
 *
 * @param run number of the run
 * @param job the job
 * @param item the item
 * @param engine the engine
 * @param text the events since the previous report
 * @param outcome whether the run is in progress, or how it ended
 * @param engineVersion the weight version that the engine reported last; 0 if none
 * @param engineLeaving whether the engine announced that it is shutting down
 */
public record RunReport(
    long run,
    JobId job,
    ItemId item,
    InstanceId engine,
    TextDelta text,
    RunOutcome outcome,
    WeightVersion engineVersion,
    boolean engineLeaving) {

  /** Creates a report of a run at an engine that isn't shutting down. */
  public RunReport(
      long run,
      JobId job,
      ItemId item,
      InstanceId engine,
      TextDelta text,
      RunOutcome outcome,
      WeightVersion engineVersion) {
    this(run, job, item, engine, text, outcome, engineVersion, false);
  }
}
