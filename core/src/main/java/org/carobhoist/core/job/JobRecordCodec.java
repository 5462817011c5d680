package org.carobhoist.core.job;

import java.util.List;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.StoredRecord;

/** Encodes the records of jobs as keys and values, and decodes them. */
public interface JobRecordCodec {

  /** Returns the records that store an accepted job. */
  List<KeyedRecord> acceptedRecords(JobHead head, byte[] submitted);

  /** Returns the record that publishes a result. */
  KeyedRecord resultRecord(JobId job, ItemResult result);

  /** Returns the record that ends a job. */
  KeyedRecord endRecord(JobId job);

  /** Returns the records that delete every key of a job. */
  List<KeyedRecord> deletionRecords(Job job);

  /**
   * Decodes a stored record.
   *
   * @throws IllegalArgumentException if it isn't a valid record of a job
   */
  JobRecord decode(StoredRecord stored);

  /** Returns the job and the item of a result's key. */
  ResultKey parseResultKey(String key);

  /**
   * The parts of the key of a result.
   *
   * @param job the job
   * @param item the item
   */
  record ResultKey(JobId job, ItemId item) {}
}
