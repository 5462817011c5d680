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
 * @param limit streams that an engine runs at once
 * @param chunk time of one chunk at full speed
 * @param train time that a trainer takes for a step
 * @param ahead steps that a trainer has prepared while it trains
 * @param firstCome whether a trainer takes groups of any open step, whichever is whole first
 * @param slowEvery every so many engines one is slow; 0 for none
 * @param length tokens of each sample
 * @param hint length that a trainer expects of a group's samples; 0 for none
 * @param seams where a test may put a broken part
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

  /** The places where a mutation can be put in; a new object has the real parts. */
  static final class Seams {

    /** The version to attribute, from the stream's and the ordered one. */
    BinaryOperator<Optional<WeightVersion>> attribution = (stream, ordered) -> stream;

    /** Whether a stream counts as ended, from whether its end mark was seen. */
    Predicate<Boolean> endMark = seen -> seen;

    /** The request against which samples are checked. */
    UnaryOperator<StepRequest> handOver = request -> request;

    /** Whether a trainer takes a page, from the page and its own request. */
    BiPredicate<StepPage, StepRequest> takes =
        (page, request) ->
            page.key().equals(request.key())
                && page.cursor().equals(request.cursor())
                && page.checkedVersion().equals(request.trainerVersion());

    /** What is resumed from. */
    UnaryOperator<SamplePrefix> resume = prefix -> prefix;

    /** Whether a sidecar claims to run an attempt, from whether it does. */
    Predicate<Boolean> claims = runs -> runs;

    /** What a sidecar does once it has reported a sample, from its store's drop. */
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
