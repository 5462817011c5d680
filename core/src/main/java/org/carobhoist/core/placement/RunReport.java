package org.carobhoist.core.placement;

import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;

/**
 * How far a run has come.
 *
 * @param run number of the run
 * @param job the job
 * @param item the item
 * @param engine the engine
 * @param text the events since the last report
 * @param outcome whether it goes on, or how it ended
 * @param engineVersion the weight version that the engine named last; 0 if none
 * @param engineLeaves whether the engine said that it leaves
 */
public record RunReport(
    long run,
    JobId job,
    ItemId item,
    InstanceId engine,
    TextDelta text,
    RunOutcome outcome,
    WeightVersion engineVersion,
    boolean engineLeaves) {

  /** Creates a report of a run at an engine that stays. */
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
