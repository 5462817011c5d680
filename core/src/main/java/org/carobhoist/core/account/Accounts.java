package org.carobhoist.core.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The accounts of one version of the manifest; immutable. */
public final class Accounts {

  private final Map<AccountName, Account> byName;
  private final Map<ApiKey, Account> byKey;

  private Accounts(Map<AccountName, Account> byName, Map<ApiKey, Account> byKey) {
    this.byName = byName;
    this.byKey = byKey;
  }

  /**
   * Returns the given accounts.
   *
   * @throws IllegalArgumentException if two accounts have the same name or share a key
   */
  public static Accounts of(Collection<Account> accounts) {
    Map<AccountName, Account> byName = new HashMap<>();
    Map<ApiKey, Account> byKey = new HashMap<>();
    for (Account account : accounts) {
      if (byName.put(account.name(), account) != null) {
        throw new IllegalArgumentException("two accounts have the name " + account.name());
      }
      for (ApiKey key : account.keys()) {
        Account other = byKey.put(key, account);
        if (other != null && other != account) {
          throw new IllegalArgumentException(
              "accounts "
                  + other.name()
                  + " and "
                  + account.name()
                  + " have the same key, fingerprint "
                  + key.fingerprint());
        }
      }
    }
    return new Accounts(byName, byKey);
  }

  /** Returns all accounts. */
  public Collection<Account> all() {
    return byName.values();
  }

  /** Returns the account that a key belongs to. */
  public Optional<Account> find(ApiKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns the account with a name. */
  public Optional<Account> find(AccountName name) {
    return Optional.ofNullable(byName.get(name));
  }
}
