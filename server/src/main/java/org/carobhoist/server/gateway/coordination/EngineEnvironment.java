package org.carobhoist.server.gateway.coordination;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.membership.RegisteredServers;
import org.carobhoist.core.placement.JobCoordinator;
import org.carobhoist.core.store.ShardTailer;

/** Connects the management of weights to the placement of items and to the registry. */
public final class EngineEnvironment implements EngineWeightManager.Environment {

  private final JobCoordinator jobs;
  private final ShardTailer leaseTail;
  private final RegisteredServers servers;

  /** Creates the environment of this process. */
  public EngineEnvironment(JobCoordinator jobs, ShardTailer leaseTail, RegisteredServers servers) {
    this.jobs = jobs;
    this.leaseTail = leaseTail;
    this.servers = servers;
  }

  @Override
  public int runCountAt(InstanceId engine, String model) {
    return jobs.runCountAt(engine, model);
  }

  @Override
  public int singleVersionRunCountAt(InstanceId engine, String model) {
    return jobs.singleVersionRunCountAt(engine, model);
  }

  @Override
  public Duration longestRemainingTimeAt(InstanceId engine, String model) {
    return jobs.longestRemainingTimeAt(engine, model);
  }

  @Override
  public WeightVersion newestRequiredVersion(String model) {
    return jobs.newestRequiredVersion(model);
  }

  @Override
  public CompletableFuture<Void> readLeaseShard() {
    return leaseTail.barrier();
  }

  @Override
  public void onEngineLeaving(InstanceId engine) {
    servers.onLeavingReported(engine);
  }

  @Override
  public void onServedVersion(InstanceId engine, String model, WeightVersion version) {
    jobs.onEngineVersion(engine, model, version);
  }
}
