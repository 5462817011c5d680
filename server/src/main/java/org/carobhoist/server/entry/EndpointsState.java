package org.carobhoist.server.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.server.state.StateSource;

/** State dump of the endpoints that an entry knows, with the values that its routing uses. */
final class EndpointsState implements StateSource {

  private final LinkPool links;

  /** The state of one endpoint, written as JSON. */
  record Line(
      String instance,
      String service,
      String kind,
      String zone,
      boolean usable,
      int ownInFlight,
      int reportedInFlight,
      int limit,
      long version) {}

  EndpointsState(LinkPool links) {
    this.links = links;
  }

  @Override
  public String name() {
    return "endpoints";
  }

  @Override
  public List<Line> state() {
    return links.directory().views().stream()
        .map(EndpointsState::toLine)
        .sorted(Comparator.comparing(Line::instance))
        .toList();
  }

  private static Line toLine(EndpointView v) {
    return new Line(
        v.instance().value(),
        v.service().value(),
        v.kind().name().toLowerCase(Locale.ROOT),
        v.zone().value(),
        v.usable(),
        v.ownInFlight(),
        v.reportedInFlight(),
        v.limit(),
        v.version().number());
  }
}
