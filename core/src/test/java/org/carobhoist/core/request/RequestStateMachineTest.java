package org.carobhoist.core.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.carobhoist.core.chart.ActionFailedException;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.Verdict;
import org.junit.jupiter.api.Test;

/** Guards against requests that are never answered because an earlier action of theirs failed. */
final class RequestStateMachineTest {

  private final List<Refusal> refusals = new ArrayList<>();
  private boolean sendFails;

  /** A port whose cancellations fail. */
  private final class Port implements RequestPort {

    @Override
    public Optional<InstanceId> choose(Set<InstanceId> excluded) {
      return Optional.of(new InstanceId("s1"));
    }

    @Override
    public void send(InstanceId endpoint, int attempt) {
      if (sendFails) {
        throw new IllegalStateException("not sent");
      }
    }

    @Override
    public void cancel(InstanceId endpoint, int attempt) {
      throw new IllegalStateException("not cancelled");
    }

    @Override
    public void passHead() {}

    @Override
    public void finish() {}

    @Override
    public void refuse(Refusal refusal) {
      refusals.add(refusal);
    }

    @Override
    public void abort(Refusal refusal) {
      refusals.add(refusal);
    }
  }

  private RequestStateMachine request() {
    return RequestStateMachine.create(
        new Port(), new RetryPolicy(2), RetryBudget.create(1, 10), false);
  }

  @Test
  void requestIsAnsweredOnceAlthoughItsCancellationFails() {
    List<Consumer<RequestStateMachine>> ends =
        List.of(
            RequestStateMachine::onDeadline,
            RequestStateMachine::onStop,
            RequestStateMachine::onCancel);
    List<List<RequestEvent>> progress =
        List.of(
            List.of(),
            List.of(RequestEvent.WRITTEN),
            List.of(RequestEvent.WRITTEN, RequestEvent.HEAD));
    for (Consumer<RequestStateMachine> end : ends) {
      for (List<RequestEvent> events : progress) {
        refusals.clear();
        RequestStateMachine request = request();
        request.start();
        events.forEach(e -> request.onAttemptEvent(1, e));
        ActionFailedException e =
            assertThrows(ActionFailedException.class, () -> end.accept(request));
        assertThat(e).hasMessageThat().contains("CANCEL_REMOTE");
        end.accept(request);
        assertWithMessage(events.toString()).that(refusals).hasSize(1);
        assertThat(refusals.get(0).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
      }
    }
  }

  @Test
  void requestThatCouldNotBeSentIsAnsweredAtItsDeadline() {
    sendFails = true;
    RequestStateMachine request = request();
    assertThrows(ActionFailedException.class, request::start);
    assertThrows(ActionFailedException.class, request::onDeadline);
    assertThat(refusals).hasSize(1);
  }
}
