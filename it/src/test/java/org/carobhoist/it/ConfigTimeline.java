package org.carobhoist.it;

import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** When a process applied which log offset, parsed from its log file across restarts. */
final class ConfigTimeline {

  /**
   * Matches the start marker written by {@link RoleProcess} (0) and the log events for ready
   * (5100), change applied (5002), change not applied (5003) and snapshot installed (5102).
   */
  private static final Pattern LINE =
      Pattern.compile("^(\\S+) \\S+ event=(0|5100|5002|5003|5102)( .*)$", Pattern.MULTILINE);

  private static final Pattern OFFSET = Pattern.compile(" (?:offset|through)=(\\d+)");
  private static final String STARTED = "0";
  private static final String READY = "5100";

  private final List<ProcessRun> processRuns = new ArrayList<>();
  private int reverts;

  private static final class ProcessRun {
    private long readyMillis = Long.MAX_VALUE;

    /** Pairs of the time in milliseconds and the offset applied then. */
    private final List<long[]> applied = new ArrayList<>();

    private long highest() {
      return applied.isEmpty() ? 0 : applied.get(applied.size() - 1)[1];
    }
  }

  private ConfigTimeline() {}

  static ConfigTimeline read(String log) {
    ConfigTimeline timeline = new ConfigTimeline();
    Matcher m = LINE.matcher(log);
    while (m.find()) {
      long timeMillis = OffsetDateTime.parse(m.group(1)).toInstant().toEpochMilli();
      timeline.add(timeMillis, m.group(2), OFFSET.matcher(m.group(3)));
    }
    return timeline;
  }

  /** Returns the highest offset applied since the last start. */
  long applied() {
    return processRuns.isEmpty() ? 0 : processRuns.get(processRuns.size() - 1).highest();
  }

  /** Returns how often a process applied an offset below one that it had already applied. */
  int reverts() {
    return reverts;
  }

  /**
   * Returns how long after a time an offset was applied, in milliseconds. Empty unless the process
   * was ready at that time and applied the offset before it ended.
   */
  OptionalLong delay(long offset, long sinceMillis) {
    for (ProcessRun processRun : processRuns) {
      if (processRun.readyMillis > sinceMillis) {
        continue;
      }
      for (long[] a : processRun.applied) {
        if (a[1] >= offset) {
          return OptionalLong.of(Math.max(0, a[0] - sinceMillis));
        }
      }
    }
    return OptionalLong.empty();
  }

  private void add(long timeMillis, String event, Matcher offset) {
    if (event.equals(STARTED)) {
      processRuns.add(new ProcessRun());
      return;
    }
    if (processRuns.isEmpty()) {
      processRuns.add(new ProcessRun());
    }
    if (event.equals(READY)) {
      processRuns.get(processRuns.size() - 1).readyMillis = timeMillis;
    }
    if (offset.find()) {
      apply(processRuns.get(processRuns.size() - 1), timeMillis, Long.parseLong(offset.group(1)));
    }
  }

  private void apply(ProcessRun processRun, long timeMillis, long offset) {
    if (offset < processRun.highest()) {
      reverts++;
    }
    processRun.applied.add(new long[] {timeMillis, offset});
  }
}
