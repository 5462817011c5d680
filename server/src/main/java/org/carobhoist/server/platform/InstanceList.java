package org.carobhoist.server.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.membership.ListedInstance;

/** The platform's instance list, which lags behind reality. */
public interface InstanceList {

  /** Reads the list. */
  CompletableFuture<List<ListedInstance>> read();
}
