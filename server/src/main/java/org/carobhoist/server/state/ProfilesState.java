package org.carobhoist.server.state;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.profile.ProfileEntry;
import org.carobhoist.core.profile.ProfileFold;

/** State dump of the profiles, both active and retired. */
public final class ProfilesState implements StateSource {

  private final ProfileFold fold;

  /** One profile in the dump. */
  public record Line(String profile, long revision, boolean retired, String service) {}

  private ProfilesState(ProfileFold fold) {
    this.fold = fold;
  }

  /** Returns the state dump of the given profiles. */
  public static ProfilesState of(ProfileFold fold) {
    return new ProfilesState(fold);
  }

  @Override
  public String name() {
    return "profiles";
  }

  @Override
  public List<Line> state() {
    return fold.entries().entrySet().stream()
        .map(ProfilesState::line)
        .sorted(Comparator.comparing(Line::profile))
        .toList();
  }

  private static Line line(Map.Entry<ProfileName, ProfileEntry> e) {
    ProfileEntry entry = e.getValue();
    return new Line(
        e.getKey().value(),
        entry.revision().offset(),
        entry.profile().isEmpty(),
        entry.profile().map(p -> p.service().value()).orElse(""));
  }
}
