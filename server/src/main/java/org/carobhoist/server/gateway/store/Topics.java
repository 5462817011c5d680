package org.carobhoist.server.gateway.store;

import java.util.List;
import java.util.stream.IntStream;
import org.carobhoist.core.store.Shard;

/** Topics and shards of the store. */
public final class Topics {

  /**
   * Shards for jobs; only two training steps are open at a time, so a few shards are enough to
   * distribute the appends.
   */
  public static final int JOB_SHARDS = 4;

  /** Shards for result entries; the store has at least this number of shards in every topic. */
  static final int ENTRY_SHARDS = 16;

  public static final Shard OPERATORS = new Shard("keyed.op", 0);
  public static final Shard SERVERS = new Shard("keyed.servers", 0);
  public static final Shard NODES = new Shard("keyed.nodes", 0);
  public static final Shard LEASE = new Shard("keyed.lease", 0);
  public static final Shard UNFINISHED_TEXTS = new Shard("keyed.unfinished", 0);
  public static final Shard USAGE = new Shard("keyed.usage", 0);

  private Topics() {}

  /** Returns the shards that hold the texts of results. */
  public static List<Shard> entries() {
    return IntStream.range(0, ENTRY_SHARDS).mapToObj(i -> new Shard("keyed.texts", i)).toList();
  }

  /** Returns the shards that hold the jobs and their results. */
  public static List<Shard> jobs() {
    return IntStream.range(0, JOB_SHARDS).mapToObj(i -> new Shard("keyed.jobs", i)).toList();
  }
}
