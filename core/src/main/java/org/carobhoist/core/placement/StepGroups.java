package org.carobhoist.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.placement.ItemState.Phase;

/**
 * Decides which groups of a step its trainer will wait for: those that were submitted by an earlier
 * job too, then those with the least work missing, up to the number that the job states.
 */
final class StepGroups {

  /**
   * Number of a group's items that are assumed to run at the same time, when the total work of a
   * group is weighed against its longest item.
   */
  private static final int PARALLEL_ITEMS = 8;

  private final JobView view;
  private final Map<JobId, Set<String>> resubmitted = new HashMap<>();

  StepGroups(JobView view) {
    this.view = view;
  }

  /**
   * The waiting items of a step, by whether the trainer is expected to wait for their group.
   *
   * @param wanted waiting items of wanted groups; groups with the least work missing first, in a
   *     group the longest item first
   * @param unwanted the other waiting items in the same order
   * @param totalEvents events missing in all wanted groups, including their running items
   * @param longestEvents events missing in the longest unfinished item of the wanted groups
   */
  record Plan(
      List<ItemState> wanted, List<ItemState> unwanted, int totalEvents, int longestEvents) {}

  /** Returns whether a job has groups and states how many it waits for. */
  static boolean areStated(Job job) {
    return job.content().wantedGroups() > 0
        && job.content().items().stream().anyMatch(i -> !i.group().isEmpty());
  }

  /** Forgets the jobs that aren't listed. */
  void retain(Collection<JobId> jobs) {
    resubmitted.keySet().retainAll(jobs);
  }

  /**
   * Returns the plan for a step.
   *
   * @param states the step's items that wait or run
   */
  Plan plan(Job job, Map<ItemId, ItemState> states, int tokensPerEvent) {
    Set<String> required = resubmitted.computeIfAbsent(job.id(), id -> findResubmitted(job));
    Set<String> names = new HashSet<>();
    Map<String, OpenGroup> open = new LinkedHashMap<>();
    for (JobItem item : job.content().items()) {
      names.add(item.group());
      if (job.result(item.id()).isEmpty()) {
        open.computeIfAbsent(item.group(), g -> new OpenGroup(required.contains(g), g.isEmpty()))
            .add(states.get(item.id()), tokensPerEvent);
      }
    }
    List<OpenGroup> ordered = new ArrayList<>(open.values());
    ordered.sort(OpenGroup.ORDER);
    int missing = job.content().wantedGroups() - (names.size() - open.size());
    Plan plan = new Plan(new ArrayList<>(), new ArrayList<>(), 0, 0);
    for (int i = 0; i < ordered.size(); i++) {
      OpenGroup group = ordered.get(i);
      group.waiting.sort(StepOrder.longestFirst(tokensPerEvent));
      plan = add(plan, group, group.required || i < missing);
    }
    return plan;
  }

  private static Plan add(Plan plan, OpenGroup group, boolean wanted) {
    (wanted ? plan.wanted : plan.unwanted).addAll(group.waiting);
    return wanted
        ? new Plan(
            plan.wanted,
            plan.unwanted,
            plan.totalEvents + group.events,
            Math.max(plan.longestEvents, group.longestEvents))
        : plan;
  }

  /**
   * Returns the groups of which an earlier job has items. The submitter always waits for them. Jobs
   * older than the retention time are ignored, since their texts can't be continued.
   */
  private Set<String> findResubmitted(Job job) {
    Set<String> out = new HashSet<>();
    for (Job other : view.jobs()) {
      if (mayShareItems(other, job)) {
        job.content().items().stream()
            .filter(i -> !i.group().isEmpty() && other.hasItem(i.id()))
            .forEach(i -> out.add(i.group()));
      }
    }
    return out;
  }

  private static boolean mayShareItems(Job other, Job job) {
    return !other.id().equals(job.id())
        && other.isContentComplete()
        && other.head().service().equals(job.head().service())
        && other.head().acceptedAt().isBefore(job.head().acceptedAt())
        && !other.head().isExpired(job.head().acceptedAt());
  }

  private static final class OpenGroup {

    private static final Comparator<OpenGroup> ORDER =
        Comparator.comparing((OpenGroup g) -> g.nameless)
            .thenComparing(g -> !g.required)
            .thenComparingInt(OpenGroup::missingWork);

    private final boolean required;
    private final boolean nameless;
    private final List<ItemState> waiting = new ArrayList<>();
    private int events;
    private int longestEvents;

    private OpenGroup(boolean required, boolean nameless) {
      this.required = required;
      this.nameless = nameless;
    }

    /** Adds an item; its state is null if it is complete and only its result is missing. */
    private void add(ItemState state, int tokensPerEvent) {
      if (state == null) {
        return;
      }
      int left = state.eventsLeft(tokensPerEvent);
      events += left;
      longestEvents = Math.max(longestEvents, left);
      if (state.phase() == Phase.WAITING) {
        waiting.add(state);
      }
    }

    private int missingWork() {
      return longestEvents + events / PARALLEL_ITEMS;
    }
  }
}
