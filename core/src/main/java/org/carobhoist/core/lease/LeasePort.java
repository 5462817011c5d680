package org.carobhoist.core.lease;

/** What a {@link LeaseKeeper} tells its surroundings. */
public interface LeasePort {

  /** This process holds the lease from now on. */
  void onAcquired(long term);

  /** This process no longer holds the lease. */
  void onLost(long term, String why);

  /** Another process holds the lease, or nobody does. */
  void onHolder(LeaseEntry entry);
}
