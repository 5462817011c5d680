package org.carobhoist.core.chart;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.StringReader;
import org.junit.jupiter.api.Test;

/** Invalid charts are rejected on loading with a message that names the state or event. */
final class ChartReaderTest {

  private static final String HEADER = "[chart]\ninitial = OFF\nfinal = BROKEN\n";
  private static final String OFF = "[OFF]\nPRESS = ON LIGHT\nFAIL = BROKEN\n";
  private static final String ON = "[ON]\nPRESS = OFF\nFAIL = BROKEN\n";

  private enum State {
    OFF,
    ON,
    BROKEN
  }

  private enum Event {
    PRESS,
    FAIL
  }

  private enum Action {
    LIGHT
  }

  @Test
  void runsTransitionsAndActions() {
    StringBuilder actions = new StringBuilder();
    StateMachine<State, Event, Action> run =
        StateMachine.start(read(HEADER + OFF + ON), actions::append);
    run.fire(Event.PRESS);
    assertThat(run.state()).isEqualTo(State.ON);
    assertThat(actions.toString()).isEqualTo("LIGHT");
    run.fire(Event.FAIL);
    run.fire(Event.PRESS);
    assertThat(run.state()).isEqualTo(State.BROKEN);
  }

  @Test
  void rejectsStateWithoutTransitionForEvent() {
    assertThat(failure(HEADER + OFF + "[ON]\nPRESS = OFF\n"))
        .contains("ON has no transition for event FAIL");
  }

  @Test
  void rejectsUnreachableState() {
    String off = "[OFF]\nPRESS = -\nFAIL = BROKEN\n";
    assertThat(failure(HEADER + off + ON)).contains("unreachable states: [ON]");
  }

  @Test
  void rejectsUnknownEventAndAction() {
    assertThat(failure(HEADER + OFF + ON + "KICK = OFF\n")).contains("KICK");
    assertThat(failure(HEADER + OFF.replace("LIGHT", "BEEP") + ON)).contains("BEEP");
  }

  @Test
  void ignoresCommentsAndBlankLines() {
    String text = "; a switch\n" + HEADER + "\n# off\n" + OFF + "  \n" + ON;
    assertThat(read(text).initial()).isEqualTo(State.OFF);
  }

  @Test
  void rejectsLineThatIsNeitherSectionNorKey() {
    assertThat(failure(HEADER + "PRESS\n" + OFF + ON))
        .isEqualTo("chart switch: line 4: neither a section nor a key of one: 'PRESS'");
    assertThat(failure("PRESS = ON\n" + HEADER + OFF + ON)).contains("line 1");
  }

  @Test
  void rejectsSectionOrKeyThatIsDefinedTwice() {
    assertThat(failure(HEADER + OFF + ON + OFF))
        .isEqualTo("chart switch: line 10: section 'OFF' is defined twice");
    assertThat(failure(HEADER + OFF + ON + "FAIL = OFF\n"))
        .isEqualTo("chart switch: line 10: key 'FAIL' is defined twice");
  }

  private static String failure(String text) {
    return assertThrows(ChartException.class, () -> read(text)).getMessage();
  }

  private static StateChart<State, Event, Action> read(String text) {
    return ChartReader.read(
        "switch", new StringReader(text), State.class, Event.class, Action.class);
  }
}
