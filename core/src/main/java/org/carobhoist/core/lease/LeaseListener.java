package org.carobhoist.core.lease;

/** Receives the changes of the lease from a {@link LeaseManager}. */
public interface LeaseListener {

  /** Called when this process has acquired the lease. */
  void onAcquired(long term);

  /** Called when this process no longer holds the lease. */
  void onLost(long term, String why);

  /** Called for each record of the lease, including renewals and this process's own records. */
  void onLeaseRecord(LeaseEntry entry);
}
