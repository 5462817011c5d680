package org.carobhoist.core.manifest;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.carobhoist.core.account.Account;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.account.Accounts;
import org.carobhoist.core.account.RequestPriority;
import org.carobhoist.core.common.ServiceName;

/** One version of the routes, services and limits that operators publish; immutable. */
public final class Manifest {

  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();

  private final long version;
  private final Map<ServiceName, ServiceSpec> services;
  private final Limits limits;
  private final Optional<Accounts> accounts;
  private final Map<String, List<Route>> byHost = new LinkedHashMap<>();

  private Manifest(
      long version,
      List<Route> routes,
      Map<ServiceName, ServiceSpec> services,
      Limits limits,
      Optional<Accounts> accounts) {
    this.version = version;
    this.services = services;
    this.limits = limits;
    this.accounts = accounts;
    routes.stream()
        .sorted(LONGEST_PREFIX_FIRST)
        .forEach(r -> byHost.computeIfAbsent(r.host(), k -> new ArrayList<>()).add(r));
  }

  /**
   * Returns a manifest without accounts.
   *
   * @param version version of the manifest; a manifest with a higher version replaces it
   */
  public static Manifest of(
      long version, List<Route> routes, Map<ServiceName, ServiceSpec> services, Limits limits) {
    return new Manifest(version, routes, Map.copyOf(services), limits, Optional.empty());
  }

  /** Returns this manifest with accounts. */
  public Manifest withAccounts(Accounts newAccounts) {
    return new Manifest(version, routes(), services, limits, Optional.of(newAccounts));
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns all routes; those of one host in the order in which they are compared. */
  public List<Route> routes() {
    return byHost.values().stream().flatMap(List::stream).toList();
  }

  /** Returns the limits for client requests. */
  public Limits limits() {
    return limits;
  }

  /** Returns the client accounts; empty if accounts are disabled. */
  public Optional<Accounts> accounts() {
    return accounts;
  }

  /** Returns the priority of a request to a route, by an account or without one. */
  public RequestPriority priority(Route route, Optional<AccountName> account) {
    OptionalInt ofAccount =
        accounts
            .flatMap(all -> account.flatMap(all::find))
            .map(Account::priority)
            .orElse(OptionalInt.empty());
    return RequestPriority.of(ofAccount, route.priority());
  }

  /** Returns all services. */
  public Map<ServiceName, ServiceSpec> services() {
    return services;
  }

  /**
   * Returns the route for a request: among the routes of the host the one with the longest prefix
   * of the path.
   */
  public Optional<Route> findRoute(String host, String path) {
    return byHost.getOrDefault(host, List.of()).stream()
        .filter(r -> path.startsWith(r.pathPrefix()))
        .findFirst();
  }
}
