package org.carobhoist.core.usage;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.carobhoist.core.duty.DutyAnswer;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/** The platform's API for usage reports. It checks the rules that callers must follow. */
final class SimulatedUsageApi {

  private static final Duration DELAY = Duration.ofMillis(15);

  private final ManualClock clock;
  private final EventQueue queue;
  private final Map<Long, String> holderOfTerm = new HashMap<>();
  private final List<String> actors = new ArrayList<>();
  private final List<Duration> actorSince = new ArrayList<>();
  private long highestTerm = -1;

  final Map<Long, String> bodies = new TreeMap<>();
  final Map<Long, Duration> acceptedAt = new HashMap<>();
  Mode mode = Mode.WELL;
  int calls;
  int repeats;
  Optional<String> violation = Optional.empty();

  /** How the API behaves. */
  enum Mode {
    /** It executes and answers. */
    WELL,
    /** It executes, and its answer is lost. */
    ANSWER_LOST,
    /** It executes two seconds later and doesn't answer. */
    LATE,
    /** It doesn't execute. */
    DOWN,
    /** It refuses without executing. */
    REFUSING
  }

  SimulatedUsageApi(ManualClock clock, EventQueue queue) {
    this.clock = clock;
    this.queue = queue;
  }

  void call(String holder, long term, byte[] body, Consumer<DutyAnswer> answer) {
    calls++;
    switch (mode) {
      case WELL ->
          queue.after(
              DELAY,
              () -> {
                DutyAnswer result = execute(holder, term, body);
                queue.after(DELAY, () -> answer.accept(result));
              });
      case ANSWER_LOST -> queue.after(DELAY, () -> execute(holder, term, body));
      case LATE -> queue.after(Duration.ofSeconds(2), () -> execute(holder, term, body));
      case DOWN -> {}
      case REFUSING -> queue.after(DELAY, () -> answer.accept(DutyAnswer.NONE));
    }
  }

  private DutyAnswer execute(String holder, long term, byte[] bytes) {
    checkFence(holder, term);
    String body = new String(bytes, StandardCharsets.UTF_8);
    long window = UsageSimulation.windowOf(body);
    String known = bodies.putIfAbsent(window, body);
    if (known == null) {
      acceptedAt.put(window, clock.elapsed());
    } else if (known.equals(body)) {
      repeats++;
    } else {
      fail("two reports of window " + window + ": " + known + " and " + body);
    }
    return DutyAnswer.ACCEPTED;
  }

  private void checkFence(String holder, long term) {
    if (term < highestTerm) {
      fail("a lower fencing number follows a higher one");
    }
    highestTerm = Math.max(highestTerm, term);
    if (!holderOfTerm.computeIfAbsent(term, t -> holder).equals(holder)) {
      fail("two holders send the same number");
    }
    int last = actors.size() - 1;
    if (last >= 0 && actors.get(last).equals(holder)) {
      return;
    }
    if (last >= 1
        && actors.get(last - 1).equals(holder)
        && clock.elapsed().minus(actorSince.get(last)).compareTo(UsageSimulation.LEASE) < 0) {
      fail("two holders alternate");
    }
    actors.add(holder);
    actorSince.add(clock.elapsed());
  }

  private void fail(String what) {
    if (violation.isEmpty()) {
      violation = Optional.of(what + " at " + clock.elapsed());
    }
  }
}
