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
import org.carobhoist.core.rollout.HeldSamples;
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

/** Converts attempts and samples between protobuf messages and {@code core} types. */
public final class SampleMapper {

  private SampleMapper() {}

  /** Converts the key of an attempt to its message. */
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

  /** Converts a finished sample to its message. */
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

  /** Converts an order to its message. */
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

  /** Converts a progress report on a running attempt to its message. */
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

  /** Creates the message that an attempt failed, with the tokens that it had generated so far. */
  public static SampleFailed toFailedMessage(
      AttemptKey attempt, String reason, SamplePrefix prefix) {
    return SampleFailed.newBuilder()
        .setName(toMessage(attempt))
        .setReason(reason)
        .addAllTokens(prefix.tokens())
        .addAllSpans(prefix.spans().stream().map(SampleMapper::toMessage).toList())
        .setText(prefix.text())
        .build();
  }

  /** Converts a message to the key of an attempt. */
  public static AttemptKey fromMessage(SampleName name) {
    StepKey step = stepKey(name.getProfile(), name.getTrainer(), name.getStep());
    return new AttemptKey(new SampleKey(step, name.getGroup(), name.getIndex()), name.getAttempt());
  }

  /**
   * Converts the message of a sidecar to a finished sample.
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
   * Converts the message of an entry to an order.
   *
   * @throws IllegalArgumentException if the message is malformed
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

  /** Converts the message of a sidecar to a progress report. */
  public static RunningAttempt fromMessage(SampleProgress progress) {
    Optional<WeightVersion> oldest =
        progress.hasOldestVersion()
            ? Optional.of(new WeightVersion(progress.getOldestVersion()))
            : Optional.empty();
    return new RunningAttempt(fromMessage(progress.getName()), progress.getGenerated(), oldest);
  }

  /** Converts a sidecar's reply to a query for the samples and attempts that it holds. */
  public static HeldSamples fromMessage(HeldReply reply) {
    return new HeldSamples(
        reply.getQuery(),
        reply.getFinishedList().stream().map(SampleMapper::fromMessage).toList(),
        reply.getRunningList().stream().map(SampleMapper::fromMessage).toList());
  }

  /**
   * Returns the part of a sample that a failed attempt had generated.
   *
   * @throws IllegalArgumentException if its spans don't cover its tokens
   */
  public static SamplePrefix toPrefix(SampleFailed failed) {
    return new SamplePrefix(failed.getTokensList(), spans(failed.getSpansList()), failed.getText());
  }

  private static List<VersionSpan> spans(List<org.carobhoist.server.link.proto.VersionSpan> spans) {
    return spans.stream()
        .map(s -> new VersionSpan(new WeightVersion(s.getVersion()), s.getFrom(), s.getTo()))
        .toList();
  }

  /** Creates the key of a step from its parts. */
  public static StepKey stepKey(String profile, String trainer, String step) {
    return new StepKey(new ProfileName(profile), new TrainerId(trainer), new StepId(step));
  }
}
