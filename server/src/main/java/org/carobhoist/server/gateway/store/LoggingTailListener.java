package org.carobhoist.server.gateway.store;

import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.ShardScan;
import org.carobhoist.core.store.Snapshot;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.TailListener;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** Logs scans and read failures of a shard, and delegates all events to another listener. */
public final class LoggingTailListener implements TailListener {

  private final Shard shard;
  private final TailListener delegate;

  /** Creates a listener that logs the events of a shard and passes them on. */
  public LoggingTailListener(Shard shard, TailListener delegate) {
    this.shard = shard;
    this.delegate = delegate;
  }

  @Override
  public void onSnapshot(Snapshot snapshot) {
    delegate.onSnapshot(snapshot);
  }

  @Override
  public void onRecord(StoredRecord stored) {
    delegate.onRecord(stored);
  }

  @Override
  public void onRecordFailed(StoredRecord stored, RuntimeException cause) {
    EventLog.warn(
        LogEvent.RECORD_SKIPPED,
        "shard",
        shard,
        "key",
        stored.key(),
        "offset",
        stored.offset(),
        "why",
        cause);
    delegate.onRecordFailed(stored, cause);
  }

  @Override
  public void onScanFinished(ShardScan scan) {
    if (scan.failure().isPresent()) {
      EventLog.warn(LogEvent.SHARD_WALK_FAILED, fields(scan, "why", scan.failure().get()));
    } else {
      EventLog.info(LogEvent.SHARD_WALKED, fields(scan, "outcome", "whole"));
    }
    delegate.onScanFinished(scan);
  }

  @Override
  public void onReadFailed(Throwable cause) {
    EventLog.warn(LogEvent.SHARD_LOST, "shard", shard, "why", cause);
    delegate.onReadFailed(cause);
  }

  @Override
  public void onReadRecovered() {
    EventLog.info(LogEvent.SHARD_REGAINED, "shard", shard);
    delegate.onReadRecovered();
  }

  private Object[] fields(ShardScan scan, String lastName, Object last) {
    return new Object[] {
      "shard",
      shard,
      "pages",
      scan.pages(),
      "records",
      scan.records(),
      "bytes",
      scan.bytes(),
      "ms",
      scan.took().toMillis(),
      lastName,
      last
    };
  }
}
