package org.carobhoist.server.link;

import com.google.protobuf.ByteString;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.AttemptKey;
import org.carobhoist.core.rollout.AttemptOrder;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.core.rollout.GroupCursor;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.carobhoist.core.rollout.RunningAttempt;
import org.carobhoist.core.rollout.SampleKey;
import org.carobhoist.core.rollout.SamplePrefix;
import org.carobhoist.core.rollout.VersionSpan;
import org.carobhoist.server.link.proto.HeldQuery;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.SampleCancel;
import org.carobhoist.server.link.proto.StepAck;

/** Prints the sizes of the control messages of a step with 4,096 samples in groups of 8. */
final class RolloutMessageBenchmark {

  private static final int GROUPS = 512;
  private static final int TOKENS = 300;

  private RolloutMessageBenchmark() {}

  /** Runs the benchmark; the arguments are ignored. */
  public static void main(String[] args) {
    AttemptKey attempt =
        new AttemptKey(
            new SampleKey(SampleMapper.stepKey("horno", "trainer-1", "step-1234"), 511, 7),
            Integer.MAX_VALUE);
    AttemptOrder order =
        new AttemptOrder(attempt, "", 4_000, SamplePrefix.NONE, SwapPolicy.KEEP, Optional.empty());
    FinishedSample sample =
        new FinishedSample(
            attempt,
            Collections.nCopies(TOKENS, 30_000),
            List.of(new VersionSpan(new WeightVersion(1), 0, TOKENS)),
            "",
            "stop");
    RunningAttempt running =
        new RunningAttempt(attempt, TOKENS, Optional.of(new WeightVersion(1_000)));
    LinkFrame.Builder frame = LinkFrame.newBuilder();
    print("start without prompt", frame.setSampleStart(SampleMapper.toMessage(order)));
    print("progress", frame.setSampleProgress(SampleMapper.toMessage(running)));
    print("done, 300 tokens", frame.setSampleDone(SampleMapper.toMessage(sample)));
    SampleCancel cancel =
        SampleCancel.newBuilder().setName(SampleMapper.toMessage(attempt)).build();
    print("cancel", frame.setSampleCancel(cancel));
    HeldQuery query =
        HeldQuery.newBuilder()
            .setQuery(Long.MAX_VALUE)
            .setProfile("horno")
            .setTrainer("trainer-1")
            .setStep("step-1234")
            .build();
    print("query", frame.setHeldQuery(query));
    GroupCursor cursor = GroupCursor.empty();
    for (int g = 0; g < GROUPS; g++) {
      cursor = cursor.with(g);
    }
    StepAck ack =
        StepAck.newBuilder()
            .setProfile("horno")
            .setTrainer("trainer-1")
            .setStep("step-1234")
            .setCursor(ByteString.copyFromUtf8(cursor.format()))
            .build();
    print("acknowledgement", frame.setStepAck(ack));
  }

  private static void print(String name, LinkFrame.Builder frame) {
    System.out.printf("%-22s %5d bytes%n", name, frame.build().getSerializedSize());
  }
}
