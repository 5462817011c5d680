package org.carobhoist.core.account;

import java.util.Optional;

/** Decision on whether a request is accepted, made from its credentials. */
public sealed interface AccessDecision {

  /**
   * The request is accepted.
   *
   * @param identity the identity of its client
   */
  record Accepted(ClientIdentity identity) implements AccessDecision {}

  /**
   * The request needs a known key and has none.
   *
   * @param reason description for the log, without the key
   */
  record Unauthorized(String reason) implements AccessDecision {}

  /**
   * The request's key is unknown, but may have been published since the accounts were last read.
   *
   * @param reason description for the log, without the key
   */
  record Unsure(String reason) implements AccessDecision {}

  /**
   * Decides on a request that a route handles.
   *
   * @param accounts the manifest's accounts; empty if accounts are disabled
   * @param publicRoute whether the route accepts requests without a known key
   * @param stale whether the accounts may be outdated
   */
  static AccessDecision forRoute(
      Optional<Accounts> accounts, boolean publicRoute, Credentials credentials, boolean stale) {
    if (accounts.isEmpty()) {
      return new Accepted(ClientIdentity.ACCOUNTS_DISABLED);
    }
    AccessDecision decision = forKey(accounts.get(), credentials, stale);
    return publicRoute && !(decision instanceof Accepted)
        ? new Accepted(ClientIdentity.ANONYMOUS)
        : decision;
  }

  /**
   * Decides on a request that names a job and no route. A request without a key is accepted, since
   * the job may have been submitted without an account.
   *
   * @param accounts the manifest's accounts; empty if accounts are disabled
   * @param stale whether the accounts may be outdated
   */
  static AccessDecision forJob(
      Optional<Accounts> accounts, Credentials credentials, boolean stale) {
    if (accounts.isEmpty()) {
      return new Accepted(ClientIdentity.ACCOUNTS_DISABLED);
    }
    return credentials instanceof Credentials.Missing
        ? new Accepted(ClientIdentity.ANONYMOUS)
        : forKey(accounts.get(), credentials, stale);
  }

  private static AccessDecision forKey(Accounts accounts, Credentials credentials, boolean stale) {
    if (credentials instanceof Credentials.Missing) {
      return new Unauthorized("no key");
    }
    if (!(credentials instanceof Credentials.Key known)) {
      return new Unauthorized("malformed or several Authorization headers");
    }
    Optional<Account> account = accounts.find(known.key());
    if (account.isPresent()) {
      return new Accepted(ClientIdentity.of(account.get().name()));
    }
    String fingerprint = known.key().fingerprint();
    return stale
        ? new Unsure("unknown key " + fingerprint + ", the manifest may be outdated")
        : new Unauthorized("unknown key " + fingerprint);
  }
}
