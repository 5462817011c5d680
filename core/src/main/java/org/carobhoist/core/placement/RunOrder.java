package org.carobhoist.core.placement;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;

/**
 * What a runner needs to know of a run.
 *
 * @param run number of the run, unique over all coordinators
 * @param job the job
 * @param item the item
 * @param host the host that the job was sent to
 * @param engine the engine
 * @param address host and port of the engine
 * @param prefix the text to go on from
 * @param minVersion the oldest weight version allowed
 * @param onlyVersion the weight version that alone is allowed, if there is one
 * @param timeLeft time until the item may be given up
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
    Optional<WeightVersion> onlyVersion,
    Duration timeLeft) {}
