package org.carobhoist.core.rollout;

import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;

/**
 * A sidecar's report on the progress of an attempt in flight.
 *
 * @param attempt the attempt
 * @param generated number of tokens so far, including those of its prefix
 * @param oldest the oldest weight version among them; empty before the first token
 */
public record RunningAttempt(AttemptKey attempt, int generated, Optional<WeightVersion> oldest) {}
