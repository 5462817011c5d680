package org.carobhoist.core.job;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.StoredRecord;

/** Record codec for tests of the view. All that the tests check is encoded in the key. */
public final class PlainRecords implements JobRecordCodec {

  private final Function<JobId, JobHead> heads;

  /** Creates a codec that looks up the head of a job by its id. */
  public PlainRecords(Function<JobId, JobHead> heads) {
    this.heads = heads;
  }

  @Override
  public List<KeyedRecord> acceptedRecords(JobHead any, byte[] submitted) {
    return List.of(new KeyedRecord("job/" + any.id(), submitted));
  }

  @Override
  public KeyedRecord resultRecord(JobId job, ItemResult result) {
    return new KeyedRecord("result/" + job + "/" + result.item(), result.pageEntry());
  }

  @Override
  public KeyedRecord endRecord(JobId job) {
    return new KeyedRecord("end/" + job, new byte[] {1});
  }

  @Override
  public List<KeyedRecord> deletionRecords(Job job) {
    return List.of(KeyedRecord.tombstone("job/" + job.id()));
  }

  @Override
  public JobRecord decode(StoredRecord stored) {
    String[] parts = stored.key().split("/");
    JobId job =
        parts[0].equals("job")
            ? JobId.parse(stored.key().substring("job/".length()))
            : new JobId(parts[1]);
    return switch (parts[0]) {
      case "job" ->
          stored.isTombstone()
              ? new JobRecord.Deleted(job)
              : new JobRecord.Accepted(heads.apply(job), 0, 1, stored.value());
      case "part" ->
          new JobRecord.Accepted(
              heads.apply(job),
              Integer.parseInt(parts[2]),
              Integer.parseInt(parts[3]),
              stored.value());
      case "result" ->
          new JobRecord.ResultPublished(
              job,
              new ItemResult(
                  new ItemId(parts[2]), false, Set.of(new WeightVersion(1)), stored.value()));
      case "end" -> new JobRecord.Ended(job);
      default -> throw new IllegalArgumentException("unknown kind of record: " + stored.key());
    };
  }

  @Override
  public JobRecordCodec.ResultKey parseResultKey(String key) {
    String[] parts = key.split("/");
    return new JobRecordCodec.ResultKey(new JobId(parts[1]), new ItemId(parts[2]));
  }
}
