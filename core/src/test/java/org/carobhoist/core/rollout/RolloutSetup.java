package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.BinaryOperator;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntBiFunction;
import java.util.function.ToIntFunction;
import java.util.function.UnaryOperator;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;

/**
 * Size and policy of a {@link RolloutSimulation}.
 *
 * @param engineLimit number of streams that an engine runs concurrently
 * @param chunkTime time that an engine takes for one chunk at full speed
 * @param trainTime time that a trainer trains on a step
 * @param stepsAhead number of steps that a trainer has generated ahead while it trains
 * @param firstCome whether a trainer takes groups of any open step, whichever is complete first
 * @param slowEvery one in this many engines is slow; 0 for none
 * @param sampleLength number of tokens of each sample
 * @param lengthHint expected length of a group's samples as given by the trainer; 0 for none
 * @param seams the parts that a mutation test can replace by faulty ones
 */
record RolloutSetup(
    int entries,
    int engines,
    int trainers,
    int steps,
    int groups,
    int samples,
    int engineLimit,
    Duration chunkTime,
    Duration trainTime,
    RolloutPolicy policy,
    int stepsAhead,
    boolean firstCome,
    int slowEvery,
    ToIntFunction<SampleKey> sampleLength,
    ToIntBiFunction<StepKey, Integer> lengthHint,
    Seams seams) {

  /** The parts that a mutation test can replace; a new object has the real ones. */
  static final class Seams {

    /**
     * Returns the version to attribute tokens to, from the stream's version and the announced one.
     */
    BinaryOperator<Optional<WeightVersion>> attribution = (stream, announced) -> stream;

    /** Returns whether a stream counts as complete, from whether its end mark was received. */
    Predicate<Boolean> countsAsComplete = received -> received;

    /** Returns the request against which the coordinator checks the samples. */
    UnaryOperator<StepRequest> checkedRequest = request -> request;

    /** Returns whether a trainer accepts a page, from the page and its current request. */
    BiPredicate<StepPage, StepRequest> acceptsPage =
        (page, request) ->
            page.key().equals(request.key())
                && page.cursor().equals(request.cursor())
                && page.checkedVersion().equals(request.trainerVersion());

    /** Returns the prefix from which an attempt resumes. */
    UnaryOperator<SamplePrefix> resumePrefix = prefix -> prefix;

    /** Returns whether a sidecar reports an attempt as running, from whether it is. */
    Predicate<Boolean> reportsRunning = isRunning -> isRunning;

    /** Called after a sidecar has reported a sample, with a task that drops it from the store. */
    Consumer<Runnable> afterReport = drop -> {};
  }

  /** Two entries, three engines and two trainers with two small steps each. */
  static RolloutSetup small(SwapPolicy swapPolicy, Seams seams) {
    return new RolloutSetup(
        2,
        3,
        2,
        2,
        3,
        2,
        4,
        Duration.ofMillis(40),
        Duration.ofMillis(300),
        new RolloutPolicy(1, swapPolicy, 0.5),
        1,
        false,
        0,
        key -> 8 + 24 * ((key.group() + key.index()) % 3),
        (step, group) -> 0,
        seams);
  }
}
