package org.carobhoist.core.rollout;

import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;

/**
 * How far an attempt in flight has come, as its sidecar reports it.
 *
 * @param attempt the attempt
 * @param generated tokens so far, those of its prefix included
 * @param oldest the oldest version among them; empty before the first token
 */
public record RunningAttempt(AttemptKey attempt, int generated, Optional<WeightVersion> oldest) {}
