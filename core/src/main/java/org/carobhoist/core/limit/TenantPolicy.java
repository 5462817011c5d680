package org.carobhoist.core.limit;

/**
 * Share of a tenant in an endpoint's capacity, relative to tenants of its priority class.
 *
 * @param weight relative weight while several tenants wait, above 0
 * @param queueLength most of its requests that may wait at one endpoint, at least 0
 * @param concurrency most of its requests that may run at one endpoint, at least 1
 */
public record TenantPolicy(double weight, int queueLength, int concurrency) {

  /** Policy of a tenant without a profile: weight 1 and no limits of its own. */
  public static final TenantPolicy DEFAULT =
      new TenantPolicy(1, Integer.MAX_VALUE, Integer.MAX_VALUE);

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if a value lies outside its range
   */
  public TenantPolicy {
    if (!(weight > 0) || queueLength < 0 || concurrency < 1) {
      throw new IllegalArgumentException("a value of the tenant policy is out of range");
    }
  }
}
