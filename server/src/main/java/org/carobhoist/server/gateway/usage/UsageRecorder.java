package org.carobhoist.server.gateway.usage;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.ServiceName;

/** Records the attempts that servers began. */
public interface UsageRecorder {

  /** A recorder for deployments that report no usage. */
  UsageRecorder NONE =
      new UsageRecorder() {
        @Override
        public void onStreamBegan(Optional<AccountName> account) {}

        @Override
        public void onPlainAnswer(
            Optional<AccountName> account, ServiceName service, Duration sinceSent) {}

        @Override
        public void onUnanswered(
            Optional<AccountName> account, ServiceName service, Duration sinceSent) {}
      };

  /** Called with the first event of a stream. */
  void onStreamBegan(Optional<AccountName> account);

  /** Called with the response head of a plain request. */
  void onPlainAnswer(Optional<AccountName> account, ServiceName service, Duration sinceSent);

  /** Called when an attempt that was written has ended without an answer. */
  void onUnanswered(Optional<AccountName> account, ServiceName service, Duration sinceSent);
}
