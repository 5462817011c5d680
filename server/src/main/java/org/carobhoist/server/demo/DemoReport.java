package org.carobhoist.server.demo;

import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Results of a demo run.
 *
 * @param requests counts of the callers' requests by outcome
 * @param samples counts of the trainer's samples, and its idle share
 * @param changeInForce whether the operator's change came into force at every entry
 */
public record DemoReport(
    RequestTally.Counts requests, SampleTally.Counts samples, boolean changeInForce) {

  /** Returns whether all invariants held and at least one sample was delivered. */
  public boolean isClean() {
    return requests.isClean() && samples.isClean() && changeInForce && samples.samples() > 0;
  }

  /** Returns the results as a table. */
  public String table() {
    return String.join(
        "\n",
        line(
            "requests   sent %d: completed %d, not run %d, may have run %d, cut short %d",
            requests.sent(),
            requests.completed(),
            requests.notRun(),
            requests.mayHaveRun(),
            requests.truncated()),
        line(
            "           doubled %d, lost %d, broken answers %d, false \"not run\" %d%s",
            requests.duplicated(),
            requests.lost(),
            requests.broken(),
            requests.falseNotRun(),
            requests.lost() == 0 ? "" : "; first loss: " + requests.firstLoss()),
        line(
            "samples    %d in %d steps; versions behind the trainer: %s",
            samples.samples(), samples.steps(), staleness()),
        line(
            "           stale %d, doubled %d, lost %d, misattributed %d",
            samples.stale(), samples.duplicated(), samples.lost(), samples.misattributed()),
        line("trainer    idle %.0f%% of the time", 100 * samples.idleShare()),
        line("operator   change in force at every entry: %s", changeInForce ? "yes" : "no"),
        line("invariants %s", isClean() ? "kept" : "BROKEN"),
        "");
  }

  private String staleness() {
    return samples.byStaleness().entrySet().stream()
        .map(e -> e.getValue() + " at " + e.getKey())
        .collect(Collectors.joining(", "));
  }

  private static String line(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
