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
 * Size and policy of a {@link RolloutWorld}.
 *
 * @param limit number of streams that an engine runs concurrently
 * @param chunk time that an engine takes for one chunk at full speed
 * @param train time that a trainer trains on a step
 * @param ahead number of steps that a trainer has generated ahead while it trains
 * @param firstCome whether a trainer takes groups of any open step, whichever is complete first
 * @param slowEvery one in this many engines is slow; 0 for none
 * @param length number of tokens of each sample
 * @param hint expected length of a group's samples as given by the trainer; 0 for none
 * @param seams the parts that a mutation test can replace by faulty ones
 */
record RolloutSetup(
    int entries,
    int engines,
    int trainers,
    int steps,
    int groups,
    int samples,
    int limit,
    Duration chunk,
    Duration train,
    RolloutPolicy policy,
    int ahead,
    boolean firstCome,
    int slowEvery,
    ToIntFunction<SampleKey> length,
    ToIntBiFunction<StepKey, Integer> hint,
    Seams seams) {

  /** The parts that a mutation test can replace; a new object has the real ones. */
  static final class Seams {

    /**
     * Returns the version to attribute tokens to, from the stream's version and the announced one.
     */
    BinaryOperator<Optional<WeightVersion>> attribution = (stream, ordered) -> stream;

    /** Returns whether a stream counts as complete, from whether its end mark was received. */
    Predicate<Boolean> endMark = seen -> seen;

    /** Returns the request against which the coordinator checks the samples. */
    UnaryOperator<StepRequest> handOver = request -> request;

    /** Returns whether a trainer accepts a page, from the page and its current request. */
    BiPredicate<StepPage, StepRequest> takes =
        (page, request) ->
            page.key().equals(request.key())
                && page.cursor().equals(request.cursor())
                && page.checkedVersion().equals(request.trainerVersion());

    /** Returns the prefix from which an attempt resumes. */
    UnaryOperator<SamplePrefix> resume = prefix -> prefix;

    /** Returns whether a sidecar reports an attempt as running, from whether it is. */
    Predicate<Boolean> claims = runs -> runs;

    /** Called after a sidecar has reported a sample, with a task that drops it from the store. */
    Consumer<Runnable> afterTold = drop -> {};
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
