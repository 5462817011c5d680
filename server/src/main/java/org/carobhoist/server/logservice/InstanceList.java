package org.carobhoist.server.logservice;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.membership.ListedInstance;

/** The platform's instance list, which lags behind reality. */
public interface InstanceList {

  /** Reads the list; costs little while the list stays the same. */
  CompletableFuture<List<ListedInstance>> read();

  /** Reads the line of one instance, or empty if the list doesn't name it. */
  CompletableFuture<Optional<ListedInstance>> read(InstanceId instance);
}
