package org.carobhoist.server.logservice;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.membership.ListedInstance;

/** The platform's instance list. It can be outdated: changes appear in it with a delay. */
public interface InstanceList {

  /** Reads the list. This is cheap as long as the list has not changed. */
  CompletableFuture<List<ListedInstance>> read();

  /** Reads the data of one instance; empty if the instance is not listed. */
  CompletableFuture<Optional<ListedInstance>> read(InstanceId instance);
}
