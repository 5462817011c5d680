package org.carobhoist.core.job;

import java.util.List;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.StoredRecord;

/** Turns records of jobs into keys and values and back. */
public interface JobRecordCodec {

  /** Returns the records of a job that is accepted. */
  List<KeyedRecord> accepted(JobHead head, byte[] submitted);

  /** Returns the record that lists a result. */
  KeyedRecord listed(JobId job, ItemResult result);

  /** Returns the record that ends a job. */
  KeyedRecord ended(JobId job);

  /** Returns the records that drop every key of a job. */
  List<KeyedRecord> forgotten(Job job);

  /**
   * Returns the record that was stored.
   *
   * @throws IllegalArgumentException if it is no record of a job
   */
  JobRecord decode(StoredRecord stored);

  /** Returns the job and the item whose result has the given key. */
  ListedKey listedKey(String key);

  /**
   * The parts of the key of a result.
   *
   * @param job the job
   * @param item the item
   */
  record ListedKey(JobId job, ItemId item) {}
}
