package org.carobhoist.core.account;

import java.util.Optional;

/**
 * Identity of the client that sent a request, fixed when the request is accepted.
 *
 * @param accountsEnabled whether the manifest has accounts; if not, headers that would identify a
 *     client are forwarded unchanged
 * @param account the account of the request's key; empty for a request without a known key
 */
public record ClientIdentity(boolean accountsEnabled, Optional<AccountName> account) {

  /** Identity of all clients if the manifest has no accounts. */
  public static final ClientIdentity ACCOUNTS_DISABLED =
      new ClientIdentity(false, Optional.empty());

  /** Identity of a client without a known key. */
  public static final ClientIdentity ANONYMOUS = new ClientIdentity(true, Optional.empty());

  /** Returns the identity of a client of an account. */
  public static ClientIdentity of(AccountName account) {
    return new ClientIdentity(true, Optional.of(account));
  }
}
