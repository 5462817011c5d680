package org.carobhoist.core.lease;

/** Receives the changes of the lease from a {@link LeaseManager}. */
public interface LeaseListener {

  /**
   * Called when this process has acquired the lease. If this throws, {@link #onAcquisitionFailed}
   * is called and the lease is released.
   */
  void onAcquired(long term);

  /** Called when {@link #onAcquired} has thrown; {@link #onLost} follows. */
  void onAcquisitionFailed(long term, RuntimeException cause);

  /** Called when this process no longer holds the lease. */
  void onLost(long term, String why);

  /** Called for each record of the lease, including renewals and this process's own records. */
  void onLeaseRecord(LeaseEntry entry);
}
