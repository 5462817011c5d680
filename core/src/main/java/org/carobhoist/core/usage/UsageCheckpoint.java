package org.carobhoist.core.usage;

import java.util.List;

/**
 * What the coordinator stores of undecided windows.
 *
 * @param sources undecided counts
 * @param reportedThrough windows up to this one have been reported
 */
public record UsageCheckpoint(List<UsageSource> sources, long reportedThrough) {}
