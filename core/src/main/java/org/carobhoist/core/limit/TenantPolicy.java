package org.carobhoist.core.limit;

/**
 * A tenant's part in an endpoint, next to the other tenants of its priority class.
 *
 * @param weight weight of its share while several tenants wait, above 0
 * @param queueLength most of its requests that wait at one endpoint, from 0
 * @param concurrency most of its requests that run at one endpoint, at least 1
 */
public record TenantPolicy(double weight, int queueLength, int concurrency) {

  /** Share of a tenant without a profile: weight 1 and no bounds of its own. */
  public static final TenantPolicy DEFAULT =
      new TenantPolicy(1, Integer.MAX_VALUE, Integer.MAX_VALUE);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value lies outside its range
   */
  public TenantPolicy {
    if (!(weight > 0) || queueLength < 0 || concurrency < 1) {
      throw new IllegalArgumentException("share of a tenant out of range");
    }
  }
}
