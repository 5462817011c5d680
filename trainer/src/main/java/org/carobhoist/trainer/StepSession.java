package org.carobhoist.trainer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobhoist.core.rollout.GroupCursor;

/**
 * A trainer's side of one step. It holds the cursor, which is the commit point of the delivery: a
 * page is taken whole if it answers exactly this cursor and was checked against the version that
 * the trainer has; any other page is dropped, so that every group arrives exactly once.
 */
public final class StepSession {

  private final String profile;
  private final String trainer;
  private final String step;
  private final int samplesPerGroup;
  private final int maxTokens;
  private final List<StepRequestMessage.Group> groups;
  private final Map<Integer, StepPageMessage.Group> taken = new TreeMap<>();
  private GroupCursor cursor;
  private long weightVersion;
  private boolean prepare;

  private StepSession(StepRequestMessage first) {
    this.profile = first.profile();
    this.trainer = first.trainer();
    this.step = first.step();
    this.samplesPerGroup = first.samplesPerGroup();
    this.maxTokens = first.maxTokens();
    this.groups = List.copyOf(first.groups());
    this.weightVersion = first.weightVersion();
    this.prepare = first.prepare();
    this.cursor = first.cursor() == null ? GroupCursor.empty() : GroupCursor.parse(first.cursor());
  }

  /**
   * Returns the session of a step whose first request is given. A trainer that was replaced goes on
   * from the cursor that it has kept, with all groups of the step.
   */
  public static StepSession start(StepRequestMessage first) {
    return new StepSession(first);
  }

  /** Notes that the trainer now has another weight version. */
  public void advanceVersion(long version) {
    weightVersion = version;
  }

  /** Notes whether samples are only to be made ready, or are taken from now on. */
  public void setPrepare(boolean value) {
    prepare = value;
  }

  /** Returns the cursor, to be kept with whatever the trainer keeps of the groups. */
  public GroupCursor cursor() {
    return cursor;
  }

  /** Returns the request for what is missing. */
  public StepRequestMessage nextRequest(long waitMillis) {
    List<StepRequestMessage.Group> missing =
        groups.stream().filter(g -> !cursor.holds(g.group())).toList();
    return new StepRequestMessage(
        profile,
        trainer,
        step,
        weightVersion,
        samplesPerGroup,
        maxTokens,
        cursor.format(),
        missing,
        waitMillis,
        prepare);
  }

  /** Takes a page; returns the groups that are new, or empty if the page was dropped. */
  public Optional<List<StepPageMessage.Group>> offer(StepPageMessage page) {
    boolean mine =
        page.profile().equals(profile)
            && page.trainer().equals(trainer)
            && page.step().equals(step);
    if (!mine || !page.cursor().equals(cursor.format()) || page.weightVersion() != weightVersion) {
      return Optional.empty();
    }
    List<StepPageMessage.Group> fresh = new ArrayList<>();
    for (StepPageMessage.Group group : page.groups()) {
      if (!cursor.holds(group.group()) && group.samples().size() == samplesPerGroup) {
        cursor = cursor.with(group.group());
        taken.put(group.group(), group);
        fresh.add(group);
      }
    }
    return Optional.of(fresh);
  }

  /** Returns whether every group has been taken. */
  public boolean isComplete() {
    return groups.stream().allMatch(g -> cursor.holds(g.group()));
  }

  /** Returns the groups that this session has taken. */
  public List<StepPageMessage.Group> groups() {
    return List.copyOf(taken.values());
  }
}
