package org.carobhoist.core.idempotency;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * The sidecars among which the callers' keys of one service are spread, from one record of the log
 * to the next.
 *
 * @param offset the record's offset
 * @param time when the log took the record, by the platform's clock
 * @param members the sidecars
 */
public record HomeView(long offset, Instant time, List<HomeMember> members) {

  /** Copies the members. */
  public HomeView {
    members = List.copyOf(members);
  }

  /** Returns whether this very run is a member. */
  public boolean contains(HomeMember member) {
    return members.contains(member);
  }

  /** Returns the members after a run has joined; it replaces an earlier run of its instance. */
  public List<HomeMember> membersWith(HomeMember member) {
    List<HomeMember> out = membersWithout(member);
    out.add(member);
    return out;
  }

  /** Returns the members after every run of a member's instance has left. */
  public List<HomeMember> membersWithout(HomeMember member) {
    List<HomeMember> out = new ArrayList<>(members);
    out.removeIf(m -> m.instance().equals(member.instance()));
    return out;
  }
}
