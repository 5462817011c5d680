package org.carobhoist.core.placement;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;

/**
 * Request to a runner to start a run, that is, one attempt to generate an item's text.
 *
 * @param run number of the run, unique across all coordinators
 * @param job the job
 * @param item the item
 * @param host the host name that the job was submitted to
 * @param engine the engine
 * @param address host and port of the engine
 * @param prefix the text generated so far, which the run continues
 * @param minVersion the oldest weight version allowed
 * @param requiredVersion the only weight version allowed, if the run is bound to one
 * @param singleVersion whether all events of the text must have the same weight version
 * @param timeLeft time left until the item may be given up
 * @param account the job's account, if it has one
 */
public record RunOrder(
    long run,
    JobId job,
    JobItem item,
    String host,
    InstanceId engine,
    String address,
    TextDelta prefix,
    WeightVersion minVersion,
    Optional<WeightVersion> requiredVersion,
    boolean singleVersion,
    Duration timeLeft,
    Optional<AccountName> account) {

  /** Returns this order with another form of its item. */
  public RunOrder withItem(JobItem newItem) {
    return new RunOrder(
        run,
        job,
        newItem,
        host,
        engine,
        address,
        prefix,
        minVersion,
        requiredVersion,
        singleVersion,
        timeLeft,
        account);
  }
}
