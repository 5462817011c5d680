package org.carobhoist.core.idempotency;

import java.util.ArrayList;
import java.util.List;
import org.carobhoist.core.common.Refusal;

/** Records the outcomes that it receives. */
final class RecordingWaiter implements Waiter<String> {

  final List<String> answers = new ArrayList<>();
  final List<Refusal> refusals = new ArrayList<>();

  @Override
  public void onAnswer(String answer) {
    answers.add(answer);
  }

  @Override
  public void onRefused(Refusal refusal) {
    refusals.add(refusal);
  }
}
