package org.carobhoist.server.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.server.runtime.DecisionLoop;

/** Collects the state of a process from its sources without stopping its work. */
public final class StateDump {

  private final DecisionLoop loop;
  private final List<StateSource> sources;

  private StateDump(DecisionLoop loop, List<StateSource> sources) {
    this.loop = loop;
    this.sources = List.copyOf(sources);
  }

  /** Returns a dump of the given sources, which are read on the loop. */
  public static StateDump of(DecisionLoop loop, List<StateSource> sources) {
    return new StateDump(loop, sources);
  }

  /** Reads all sources in one task on the loop, so that the dump is a consistent snapshot. */
  public CompletableFuture<Map<String, Object>> collect() {
    return loop.call(this::read);
  }

  private Map<String, Object> read() {
    Map<String, Object> parts = new LinkedHashMap<>();
    sources.forEach(s -> parts.put(s.name(), s.state()));
    return parts;
  }
}
