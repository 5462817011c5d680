package org.carobhoist.server.gateway.job;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.EntryLocation;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobHead;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobRecord;
import org.carobhoist.core.job.JobRecordCodec;
import org.carobhoist.core.manifest.JobRules;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.server.link.proto.ResultRecord;

/**
 * Encodes job records as protobuf. A key has the form {@code kind/job/rest}, where the rest is the
 * chunk index of a submitted job, the item id of a result, or empty for the end of a job. The job's
 * id contains a slash if the job has an account, the other parts don't.
 */
public final class ProtobufJobRecordCodec implements JobRecordCodec {

  /** Maximum bytes of a job in one record; the store accepts 256 KiB including key and header. */
  private static final int CHUNK_BYTES = 200 * 1024;

  private static final String ACCEPTED = "job";
  private static final String RESULT = "result";
  private static final String ENDED = "end";
  private static final byte[] END_VALUE = {1};

  @Override
  public List<KeyedRecord> acceptedRecords(JobHead head, byte[] submitted) {
    int chunks = Math.max(1, (submitted.length + CHUNK_BYTES - 1) / CHUNK_BYTES);
    List<KeyedRecord> records = new ArrayList<>();
    for (int i = 0; i < chunks; i++) {
      int from = i * CHUNK_BYTES;
      int length = Math.min(CHUNK_BYTES, submitted.length - from);
      ByteString part = ByteString.copyFrom(submitted, from, length);
      records.add(
          new KeyedRecord(
              key(ACCEPTED, head.id(), Integer.toString(i)),
              message(head, i, chunks, part).toByteArray()));
    }
    return records;
  }

  @Override
  public KeyedRecord resultRecord(JobId job, ItemResult result) {
    ResultRecord.Builder value =
        ResultRecord.newBuilder()
            .setPageEntry(ByteString.copyFrom(result.pageEntry()))
            .setDead(result.givenUp())
            .addAllVersions(result.versions().stream().map(WeightVersion::number).toList());
    result
        .location()
        .ifPresent(
            p ->
                value
                    .setEntryKey(p.key())
                    .setEntryPart(p.part())
                    .setEntryOffset(p.offset())
                    .setEntryLength(p.length()));
    return new KeyedRecord(key(RESULT, job, result.item().value()), value.build().toByteArray());
  }

  @Override
  public KeyedRecord endRecord(JobId job) {
    return new KeyedRecord(key(ENDED, job, ""), END_VALUE);
  }

  @Override
  public List<KeyedRecord> deletionRecords(Job job) {
    List<KeyedRecord> records = new ArrayList<>();
    job.resultsFrom(0)
        .forEach(r -> records.add(KeyedRecord.tombstone(key(RESULT, job.id(), r.item().value()))));
    records.add(KeyedRecord.tombstone(key(ENDED, job.id(), "")));
    for (int i = 0; i < job.chunkCount(); i++) {
      records.add(KeyedRecord.tombstone(key(ACCEPTED, job.id(), Integer.toString(i))));
    }
    return records;
  }

  @Override
  public JobRecord decode(StoredRecord stored) {
    String[] parts = split(stored.key());
    JobId job = JobId.parse(parts[1]);
    if (stored.isTombstone()) {
      return parts[0].equals(ACCEPTED) ? new JobRecord.Deleted(job) : new JobRecord.KeyDeleted(job);
    }
    try {
      return switch (parts[0]) {
        case ACCEPTED -> decodeAccepted(job, stored.value());
        case RESULT ->
            new JobRecord.ResultPublished(job, result(new ItemId(parts[2]), stored.value()));
        case ENDED -> new JobRecord.Ended(job);
        default -> throw new IllegalArgumentException("unknown kind of record: " + parts[0]);
      };
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("value of " + stored.key() + " is malformed", e);
    }
  }

  @Override
  public JobRecordCodec.ResultKey parseResultKey(String key) {
    String[] parts = split(key);
    return new JobRecordCodec.ResultKey(JobId.parse(parts[1]), new ItemId(parts[2]));
  }

  /** Encodes a job that isn't stored yet as a message to the coordinator. */
  public static org.carobhoist.server.link.proto.JobRecord noticeMessage(
      JobHead head, byte[] submitted) {
    return message(head, 0, 1, ByteString.copyFrom(submitted));
  }

  /** Decodes the head of a job. */
  public static JobHead head(JobId id, org.carobhoist.server.link.proto.JobRecord message) {
    JobRules rules =
        new JobRules(
            Duration.ofMillis(message.getDeadlineMillis()),
            Duration.ofMillis(message.getRetentionMillis()),
            message.getSingleVersion());
    return new JobHead(
        id,
        new ServiceName(message.getService()),
        message.getHost(),
        message.getRoute(),
        Instant.ofEpochMilli(message.getAcceptedMillis()),
        rules,
        message.getMaxAttempts(),
        message.getTotal(),
        RunMapper.account(message.getAccount()));
  }

  private static org.carobhoist.server.link.proto.JobRecord message(
      JobHead head, int chunk, int chunks, ByteString content) {
    return org.carobhoist.server.link.proto.JobRecord.newBuilder()
        .setService(head.service().value())
        .setHost(head.host())
        .setRoute(head.route())
        .setAcceptedMillis(head.acceptedAt().toEpochMilli())
        .setDeadlineMillis(head.rules().deadline().toMillis())
        .setRetentionMillis(head.rules().retention().toMillis())
        .setSingleVersion(head.rules().singleVersion())
        .setMaxAttempts(head.maxAttempts())
        .setTotal(head.itemCount())
        .setAccount(head.account().map(AccountName::value).orElse(""))
        .setChunk(chunk)
        .setChunks(chunks)
        .setContent(content)
        .build();
  }

  private static JobRecord decodeAccepted(JobId id, byte[] value)
      throws InvalidProtocolBufferException {
    var message = org.carobhoist.server.link.proto.JobRecord.parseFrom(value);
    if (message.getChunk() < 0 || message.getChunk() >= message.getChunks()) {
      throw new IllegalArgumentException("chunk index is out of range: " + message.getChunk());
    }
    byte[] content = message.getContent().toByteArray();
    return new JobRecord.Accepted(
        head(id, message), message.getChunk(), message.getChunks(), content);
  }

  private static ItemResult result(ItemId item, byte[] value)
      throws InvalidProtocolBufferException {
    ResultRecord message = ResultRecord.parseFrom(value);
    ItemResult result =
        new ItemResult(
            item,
            message.getDead(),
            message.getVersionsList().stream().map(WeightVersion::new).collect(Collectors.toSet()),
            message.getPageEntry().toByteArray());
    return message.getEntryKey().isEmpty()
        ? result
        : result.withLocation(
            new EntryLocation(
                message.getEntryKey(),
                message.getEntryPart(),
                message.getEntryOffset(),
                message.getEntryLength()));
  }

  private static String key(String kind, JobId job, String rest) {
    return kind + "/" + job + "/" + rest;
  }

  private static String[] split(String key) {
    int jobStart = key.indexOf('/') + 1;
    int jobEnd = key.lastIndexOf('/');
    if (jobStart > jobEnd) {
      throw new IllegalArgumentException("record key does not have three parts: " + key);
    }
    return new String[] {
      key.substring(0, jobStart - 1), key.substring(jobStart, jobEnd), key.substring(jobEnd + 1)
    };
  }
}
