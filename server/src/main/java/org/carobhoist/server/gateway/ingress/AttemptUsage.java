package org.carobhoist.server.gateway.ingress;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.server.gateway.usage.UsageRecorder;

/** Counts an attempt for usage reports: once, at the first sign that a server began it. */
final class AttemptUsage {

  private final UsageRecorder recorder;
  private final Optional<AccountName> account;
  private final ServiceName service;
  private boolean settled;

  AttemptUsage(UsageRecorder recorder, Optional<AccountName> account, ServiceName service) {
    this.recorder = recorder;
    this.account = account;
    this.service = service;
  }

  /** Called with each event of a stream. */
  void onStreamEvent() {
    if (!settled) {
      settled = true;
      recorder.onStreamBegan(account);
    }
  }

  /** Called with the response head of a plain request that the server ran. */
  void onPlainHead(Duration sinceSent) {
    if (!settled) {
      settled = true;
      recorder.onPlainAnswer(account, service, sinceSent);
    }
  }

  /** Called when the attempt certainly didn't run. */
  void onNotRun() {
    settled = true;
  }

  /**
   * Called when the attempt has ended.
   *
   * @param written whether the request was written to a connection
   */
  void onEnded(boolean written, Duration sinceSent) {
    if (!settled && written) {
      recorder.onUnanswered(account, service, sinceSent);
    }
    settled = true;
  }
}
