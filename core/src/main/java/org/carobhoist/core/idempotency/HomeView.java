package org.carobhoist.core.idempotency;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * The sidecars among which the caller-generated keys of one service are distributed. A view is
 * valid from its record in the log until the next one.
 *
 * @param offset offset of the record
 * @param time when the record was appended, by the platform's clock
 * @param members the sidecars
 */
public record HomeView(long offset, Instant time, List<HomeMember> members) {

  /** Makes an immutable copy of the members. */
  public HomeView {
    members = List.copyOf(members);
  }

  /** Returns whether exactly this incarnation is a member. */
  public boolean contains(HomeMember member) {
    return members.contains(member);
  }

  /** Returns the members with one added; it replaces earlier incarnations of its instance. */
  public List<HomeMember> membersWith(HomeMember member) {
    List<HomeMember> out = membersWithout(member);
    out.add(member);
    return out;
  }

  /** Returns the members without any incarnation of the given member's instance. */
  public List<HomeMember> membersWithout(HomeMember member) {
    List<HomeMember> out = new ArrayList<>(members);
    out.removeIf(m -> m.instance().equals(member.instance()));
    return out;
  }
}
