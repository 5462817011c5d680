package org.carobhoist.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.store.AppendTiming;
import org.carobhoist.core.store.Snapshot;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.TailListener;

/**
 * All jobs as read from the store. Processes that have read the same records have the same view.
 * Each job is stored in one shard, which is chosen by the job's id.
 */
public final class JobView {

  private final JobRecordCodec codec;
  private final JobDecoder decoder;
  private final int shards;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final List<JobListener> listeners = new ArrayList<>();

  private JobView(JobRecordCodec codec, JobDecoder decoder, int shards) {
    this.codec = codec;
    this.decoder = decoder;
    this.shards = shards;
  }

  /**
   * Returns a view without jobs.
   *
   * @param shards number of shards that the jobs are distributed over
   */
  public static JobView create(JobRecordCodec codec, JobDecoder decoder, int shards) {
    return new JobView(codec, decoder, shards);
  }

  /** Adds a listener, which is called for changes from now on. */
  public void addListener(JobListener listener) {
    listeners.add(listener);
  }

  /** Returns the number of the shard that stores a job. */
  public int shardOf(JobId id) {
    return Math.floorMod(id.value().hashCode(), shards);
  }

  /** Returns a job if all parts of its content are known. */
  public Optional<Job> job(JobId id) {
    return Optional.ofNullable(jobs.get(id)).filter(Job::isContentComplete);
  }

  /** Returns the jobs of which all parts are known, in the order of their first records. */
  public List<Job> jobs() {
    return jobs.values().stream().filter(Job::isContentComplete).toList();
  }

  /**
   * Returns all jobs in the order in which their first records were read, also those of which some
   * parts are unknown, so that their content can't be used.
   */
  public Collection<Job> allJobs() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /** Returns whether a result with the given key may be appended. */
  public AppendTiming appendTiming(String resultKey) {
    JobRecordCodec.ResultKey key = codec.parseResultKey(resultKey);
    Job job = jobs.get(key.job());
    if (job == null) {
      return AppendTiming.LATER;
    }
    return job.isOpen() && job.result(key.item()).isEmpty() ? AppendTiming.NOW : AppendTiming.NEVER;
  }

  /** Returns a job that isn't in the store yet, without adding it to this view. */
  public Job createProvisionalJob(JobHead head, byte[] submitted) {
    Job job = new Job(head, 1, decoder);
    job.addChunk(0, submitted);
    return job;
  }

  /** Returns the listener for the tail of one shard. */
  public TailListener shardListener(int shard) {
    return new ShardListener(shard);
  }

  /** Decodes a record; if that fails, notifies the listeners and returns empty. */
  private Optional<JobRecord> decode(StoredRecord stored) {
    try {
      return Optional.of(codec.decode(stored));
    } catch (IllegalArgumentException e) {
      notifyListeners(l -> l.onUnreadableRecord(stored.key(), stored.offset(), e.getMessage()));
      return Optional.empty();
    }
  }

  private void apply(JobRecord decoded, long offset) {
    if (decoded instanceof JobRecord.Accepted a) {
      accept(a);
      return;
    }
    Job job = jobs.get(decoded.job());
    if (job == null) {
      return;
    }
    if (decoded instanceof JobRecord.ResultPublished p) {
      addResult(job, p.result(), offset);
    } else if (decoded instanceof JobRecord.Ended) {
      end(job);
    } else if (decoded instanceof JobRecord.Deleted) {
      removeJob(job);
    }
  }

  private void accept(JobRecord.Accepted a) {
    Job job = jobs.computeIfAbsent(a.job(), id -> new Job(a.head(), a.chunks(), decoder));
    if (job.addChunk(a.chunk(), a.content()) && !job.isEnded()) {
      notifyListeners(l -> l.onAccepted(job));
    }
  }

  private void addResult(Job job, ItemResult result, long offset) {
    if (job.addResult(result, offset)) {
      notifyListeners(l -> l.onResultPublished(job, result));
    } else if (job.resultOffset(result.item()) != offset) {
      notifyListeners(l -> l.onDuplicateResult(job, result, offset));
    }
  }

  private void end(Job job) {
    if (job.end()) {
      notifyListeners(l -> l.onEnded(job));
      job.releaseContent();
    }
  }

  /** Notifies all listeners, also after one that throws, since a change is reported only once. */
  private void notifyListeners(Consumer<JobListener> change) {
    listeners.forEach(l -> Callbacks.runReported(() -> change.accept(l)));
  }

  private void removeJob(Job job) {
    jobs.remove(job.id());
    end(job);
  }

  private final class ShardListener implements TailListener {

    private final int shard;

    private ShardListener(int shard) {
      this.shard = shard;
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
      Set<JobId> presentJobs = new HashSet<>();
      Map<StoredRecord, JobRecord> otherRecords = new LinkedHashMap<>();
      // A snapshot has only the newest record of each key. If a job was submitted twice, its
      // newest record may follow those of its results, and results of an unknown job are ignored.
      // Jobs are therefore added before all other records are applied.
      snapshot.forEach(
          snapshot.records(),
          stored -> {
            Optional<JobRecord> decoded = decode(stored);
            decoded.map(JobRecord::job).ifPresent(presentJobs::add);
            if (decoded.isPresent() && decoded.get() instanceof JobRecord.Accepted a) {
              accept(a);
            } else {
              decoded.ifPresent(r -> otherRecords.put(stored, r));
            }
          });
      snapshot.forEach(
          snapshot.newerRecords(),
          stored -> {
            if (decode(stored).orElse(null) instanceof JobRecord.Accepted a) {
              presentJobs.add(a.job());
              accept(a);
            }
          });
      snapshot.forEach(
          List.copyOf(otherRecords.keySet()),
          stored -> apply(otherRecords.get(stored), stored.offset()));
      List.copyOf(jobs.values()).stream()
          .filter(j -> shardOf(j.id()) == shard && !presentJobs.contains(j.id()))
          .forEach(JobView.this::removeJob);
    }

    @Override
    public void onRecord(StoredRecord stored) {
      decode(stored).ifPresent(r -> apply(r, stored.offset()));
    }
  }
}
