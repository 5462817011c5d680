package org.carobhoist.server.link;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.StepId;
import org.carobhoist.core.common.TrainerId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.AttemptKey;
import org.carobhoist.core.rollout.AttemptOrder;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.core.rollout.HeldAnswer;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.carobhoist.core.rollout.RunningAttempt;
import org.carobhoist.core.rollout.SampleKey;
import org.carobhoist.core.rollout.SamplePrefix;
import org.carobhoist.core.rollout.StepKey;
import org.carobhoist.core.rollout.VersionSpan;
import org.carobhoist.server.link.proto.HeldReply;
import org.carobhoist.server.link.proto.SampleDone;
import org.carobhoist.server.link.proto.SampleFailed;
import org.carobhoist.server.link.proto.SampleName;
import org.carobhoist.server.link.proto.SampleProgress;
import org.carobhoist.server.link.proto.SampleStart;

/** Translates attempts and samples between the wire and {@code core}. */
public final class SampleMapper {

  private SampleMapper() {}

  /** Returns the name of an attempt for the wire. */
  public static SampleName toMessage(AttemptKey attempt) {
    SampleKey sample = attempt.sample();
    return SampleName.newBuilder()
        .setProfile(sample.step().profile().value())
        .setTrainer(sample.step().trainer().value())
        .setStep(sample.step().step().value())
        .setGroup(sample.group())
        .setIndex(sample.index())
        .setAttempt(attempt.number())
        .build();
  }

  /** Returns a finished sample for the wire. */
  public static SampleDone toMessage(FinishedSample sample) {
    SampleDone.Builder done =
        SampleDone.newBuilder()
            .setName(toMessage(sample.attempt()))
            .addAllTokens(sample.tokens())
            .addAllSpans(sample.spans().stream().map(SampleMapper::toMessage).toList())
            .setFinishReason(sample.finishReason())
            .setText(sample.text());
    sample.score().ifPresent(done::setScore);
    return done.build();
  }

  /** Returns an order for the wire. */
  public static SampleStart toMessage(AttemptOrder order) {
    SamplePrefix prefix = order.prefix();
    return SampleStart.newBuilder()
        .setName(toMessage(order.attempt()))
        .setPrompt(order.prompt())
        .setMaxTokens(order.maxTokens())
        .addAllResumeTokens(prefix.tokens())
        .addAllResumeSpans(prefix.spans().stream().map(SampleMapper::toMessage).toList())
        .setResumeText(prefix.text())
        .setSwapPolicy(order.swapPolicy().name())
        .setScorer(order.scorer().map(URI::toString).orElse(""))
        .build();
  }

  /** Returns a report on an attempt in flight for the wire. */
  public static SampleProgress toMessage(RunningAttempt report) {
    SampleProgress.Builder progress =
        SampleProgress.newBuilder()
            .setName(toMessage(report.attempt()))
            .setGenerated(report.generated());
    report.oldest().ifPresent(v -> progress.setOldestVersion(v.number()));
    return progress.build();
  }

  private static org.carobhoist.server.link.proto.VersionSpan toMessage(VersionSpan span) {
    return org.carobhoist.server.link.proto.VersionSpan.newBuilder()
        .setVersion(span.version().number())
        .setFrom(span.from())
        .setTo(span.to())
        .build();
  }

  /** Returns the failure of an attempt, with what it had made, for the wire. */
  public static SampleFailed failed(AttemptKey attempt, String reason, SamplePrefix made) {
    return SampleFailed.newBuilder()
        .setName(toMessage(attempt))
        .setReason(reason)
        .addAllTokens(made.tokens())
        .addAllSpans(made.spans().stream().map(SampleMapper::toMessage).toList())
        .setText(made.text())
        .build();
  }

  /** Returns the attempt that a name on the wire means. */
  public static AttemptKey fromMessage(SampleName name) {
    StepKey step = step(name.getProfile(), name.getTrainer(), name.getStep());
    return new AttemptKey(new SampleKey(step, name.getGroup(), name.getIndex()), name.getAttempt());
  }

  /**
   * Returns the finished sample that a sidecar sent.
   *
   * @throws IllegalArgumentException if its spans don't cover its tokens
   */
  public static FinishedSample fromMessage(SampleDone done) {
    return new FinishedSample(
        fromMessage(done.getName()),
        done.getTokensList(),
        spans(done.getSpansList()),
        done.getText(),
        done.getFinishReason(),
        done.hasScore() ? OptionalDouble.of(done.getScore()) : OptionalDouble.empty());
  }

  /**
   * Returns the order that an entry sent.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  public static AttemptOrder fromMessage(SampleStart start) {
    SamplePrefix prefix =
        new SamplePrefix(
            start.getResumeTokensList(), spans(start.getResumeSpansList()), start.getResumeText());
    return new AttemptOrder(
        fromMessage(start.getName()),
        start.getPrompt(),
        start.getMaxTokens(),
        prefix,
        SwapPolicy.valueOf(start.getSwapPolicy()),
        Optional.of(start.getScorer()).filter(s -> !s.isEmpty()).map(URI::create));
  }

  /** Returns the report that a sidecar sent. */
  public static RunningAttempt fromMessage(SampleProgress progress) {
    Optional<WeightVersion> oldest =
        progress.hasOldestVersion()
            ? Optional.of(new WeightVersion(progress.getOldestVersion()))
            : Optional.empty();
    return new RunningAttempt(fromMessage(progress.getName()), progress.getGenerated(), oldest);
  }

  /** Returns what a sidecar answered on what it holds. */
  public static HeldAnswer fromMessage(HeldReply reply) {
    return new HeldAnswer(
        reply.getQuery(),
        reply.getFinishedList().stream().map(SampleMapper::fromMessage).toList(),
        reply.getRunningList().stream().map(SampleMapper::fromMessage).toList());
  }

  /**
   * Returns what a failed attempt had made.
   *
   * @throws IllegalArgumentException if its spans don't cover its tokens
   */
  public static SamplePrefix made(SampleFailed failed) {
    return new SamplePrefix(failed.getTokensList(), spans(failed.getSpansList()), failed.getText());
  }

  private static List<VersionSpan> spans(List<org.carobhoist.server.link.proto.VersionSpan> spans) {
    return spans.stream()
        .map(s -> new VersionSpan(new WeightVersion(s.getVersion()), s.getFrom(), s.getTo()))
        .toList();
  }

  /** Returns a step's key. */
  public static StepKey step(String profile, String trainer, String step) {
    return new StepKey(new ProfileName(profile), new TrainerId(trainer), new StepId(step));
  }
}
