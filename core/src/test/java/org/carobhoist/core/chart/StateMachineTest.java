package org.carobhoist.core.chart;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against actions that are skipped because one before them failed. */
final class StateMachineTest {

  private static final String CHART =
      "[chart]\ninitial = OPEN\nfinal = CLOSED\n[OPEN]\nCLOSE = CLOSED FLUSH NOTIFY RELEASE\n";

  private enum State {
    OPEN,
    CLOSED
  }

  private enum Event {
    CLOSE
  }

  private enum Action {
    FLUSH,
    NOTIFY,
    RELEASE
  }

  @Test
  void allActionsRunAndTheFailureNamesThoseThatFailed() {
    List<Action> run = new ArrayList<>();
    StateMachine<State, Event, Action> machine =
        StateMachine.start(
            ChartReader.read(
                "file", new StringReader(CHART), State.class, Event.class, Action.class),
            action -> {
              run.add(action);
              if (action != Action.RELEASE) {
                throw new IllegalStateException("broken");
              }
            });
    ActionFailedException e =
        assertThrows(ActionFailedException.class, () -> machine.fire(Event.CLOSE));
    assertThat(run).containsExactly(Action.FLUSH, Action.NOTIFY, Action.RELEASE).inOrder();
    assertThat(machine.isDone()).isTrue();
    assertThat(e).hasMessageThat().isEqualTo("chart file: FLUSH failed on event CLOSE to CLOSED");
    assertThat(e.getSuppressed()).hasLength(1);
    assertThat(e.getSuppressed()[0]).hasMessageThat().contains("NOTIFY");
  }
}
