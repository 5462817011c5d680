package org.carobhoist.server.link;

import java.util.List;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.StepId;
import org.carobhoist.core.common.TrainerId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.AttemptKey;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.core.rollout.SampleKey;
import org.carobhoist.core.rollout.StepKey;
import org.carobhoist.core.rollout.VersionSpan;
import org.carobhoist.server.link.proto.SampleDone;
import org.carobhoist.server.link.proto.SampleName;

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
    return SampleDone.newBuilder()
        .setName(toMessage(sample.attempt()))
        .addAllTokens(sample.tokens())
        .addAllSpans(sample.spans().stream().map(SampleMapper::toMessage).toList())
        .setFinishReason(sample.finishReason())
        .setText(sample.text())
        .build();
  }

  private static org.carobhoist.server.link.proto.VersionSpan toMessage(VersionSpan span) {
    return org.carobhoist.server.link.proto.VersionSpan.newBuilder()
        .setVersion(span.version().number())
        .setFrom(span.from())
        .setTo(span.to())
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
    List<VersionSpan> spans =
        done.getSpansList().stream()
            .map(s -> new VersionSpan(new WeightVersion(s.getVersion()), s.getFrom(), s.getTo()))
            .toList();
    return new FinishedSample(
        fromMessage(done.getName()),
        done.getTokensList(),
        spans,
        done.getText(),
        done.getFinishReason());
  }

  /** Returns a step's key. */
  public static StepKey step(String profile, String trainer, String step) {
    return new StepKey(new ProfileName(profile), new TrainerId(trainer), new StepId(step));
  }
}
