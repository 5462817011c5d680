package org.carobhoist.core.rollout;

import java.net.URI;
import java.util.Optional;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;

/**
 * What an engine's sidecar is asked to make.
 *
 * @param attempt the attempt's name
 * @param prompt the prompt
 * @param maxTokens most tokens of the sample, those of the prefix included
 * @param prefix tokens made earlier, from which the attempt goes on
 * @param swapPolicy what happens when the engine changes version meanwhile
 * @param scorer where the sample is scored, if anywhere
 */
public record AttemptOrder(
    AttemptKey attempt,
    String prompt,
    int maxTokens,
    SamplePrefix prefix,
    SwapPolicy swapPolicy,
    Optional<URI> scorer) {}
