package org.carobhoist.core.usage;

import java.util.Map;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;

/**
 * The undecided counts of one incarnation of a gateway.
 *
 * @param instance the gateway
 * @param incarnation its incarnation; a restarted gateway counts from zero
 * @param windows counts by window and account
 */
public record UsageSource(
    InstanceId instance, Incarnation incarnation, Map<Long, Map<AccountName, Long>> windows) {}
