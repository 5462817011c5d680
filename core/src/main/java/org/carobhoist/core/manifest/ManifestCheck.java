package org.carobhoist.core.manifest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.account.Account;
import org.carobhoist.core.account.Accounts;
import org.carobhoist.core.common.ServiceName;

/**
 * Checks a manifest that can be decoded for entries that can't work: routes that no request can
 * match, services and accounts without use, and limits that contradict each other.
 */
public final class ManifestCheck {

  private static final String SYSTEM_PREFIX = "/-/";

  private final Manifest manifest;
  private final List<ManifestFinding> findings = new ArrayList<>();

  private ManifestCheck(Manifest manifest) {
    this.manifest = manifest;
  }

  /** Returns the findings; empty if there are none. */
  public static List<ManifestFinding> check(Manifest manifest) {
    ManifestCheck check = new ManifestCheck(manifest);
    check.checkRoutes();
    check.checkServices();
    check.checkLimits();
    manifest.accounts().ifPresent(check::checkAccounts);
    return List.copyOf(check.findings);
  }

  private void checkRoutes() {
    Map<String, Route> first = new HashMap<>();
    for (Route r : manifest.routes()) {
      Route other = first.putIfAbsent(r.host() + r.pathPrefix(), r);
      if (other != null) {
        warn(where(r), "never matches: " + where(other) + " has the same host and prefix");
      }
      checkAddress(r);
      checkSplits(r);
      checkTimes(r);
    }
  }

  private void checkAddress(Route r) {
    if (!r.pathPrefix().startsWith("/") || !r.pathPrefix().endsWith("/")) {
      fail(where(r), "the prefix " + r.pathPrefix() + " doesn't begin and end with a slash");
    }
    if (r.host().isEmpty() || r.host().contains(":")) {
      fail(where(r), "never matches: hosts of requests are compared without a port");
    }
    if (r.pathPrefix().startsWith(SYSTEM_PREFIX)) {
      warn(where(r), "the prefix overlaps the system's own calls under " + SYSTEM_PREFIX);
    }
  }

  private void checkSplits(Route r) {
    int total = r.splits().stream().mapToInt(Split::weight).sum();
    for (Split s : r.splits()) {
      if (!manifest.services().containsKey(s.service())) {
        fail(where(r), "service " + s.service() + " isn't in the manifest");
      } else if (s.weight() <= 0 && total > 0) {
        warn(where(r), "service " + s.service() + " has the weight 0 and gets no requests");
      }
    }
    if (total <= 0) {
      warn(where(r), "all weights are 0, so the first service gets all requests");
    }
    boolean lacksEngine =
        r.kind() == RouteKind.JOBS
            && r.splits().stream()
                .map(s -> manifest.services().get(s.service()))
                .anyMatch(s -> s != null && s.engine().isEmpty());
    if (lacksEngine) {
      fail(where(r), "takes jobs, but its service has no engines");
    }
  }

  private void checkTimes(Route r) {
    if (r.timeout().isZero() || r.timeout().isNegative()) {
      fail(where(r), "the timeout is not above 0");
    }
    if (r.targetLatency().filter(t -> t.compareTo(r.timeout()) > 0).isPresent()) {
      warn(where(r), "the target latency is above the timeout");
    }
    r.jobRules()
        .filter(j -> j.deadline().compareTo(j.retention()) > 0)
        .ifPresent(j -> warn(where(r), "items may be given up before the deadline of their job"));
  }

  private void checkServices() {
    Set<ServiceName> used = new HashSet<>();
    manifest.routes().forEach(r -> r.splits().forEach(s -> used.add(s.service())));
    for (ServiceSpec s : manifest.services().values()) {
      String where = "service " + s.name();
      if (!used.contains(s.name())) {
        warn(where, "no route uses it");
      }
      s.engine()
          .filter(e -> e.slots() < 1 || e.memoryTokens() < 1 || e.tokensPerEvent() < 1)
          .ifPresent(e -> fail(where, "slots, memory and tokens per event must be at least 1"));
    }
  }

  private void checkLimits() {
    Limits l = manifest.limits();
    if (l.headerBytes() < 1 || l.bodyBytes() < 1) {
      fail("limits", "the sizes of head and body must be at least 1");
    }
    if (l.headerBytes() > Limits.MAX_HEADER_BYTES) {
      warn("limits", "gateways receive heads of at most " + Limits.MAX_HEADER_BYTES + " bytes");
    }
    if (isNotPositive(l.headerTimeout()) || isNotPositive(l.idleTimeout())) {
      fail("limits", "the time limits must be above 0");
    } else if (l.headerTimeout().compareTo(l.idleTimeout()) > 0) {
      warn("limits", "the time for a head is above the idle time of a connection");
    }
  }

  private static boolean isNotPositive(Duration d) {
    return d.isZero() || d.isNegative();
  }

  private void checkAccounts(Accounts accounts) {
    for (Account a : accounts.all()) {
      if (a.keys().isEmpty()) {
        warn("account " + a.name(), "has no key, so no request can belong to it");
      }
    }
    boolean keyNeeded = manifest.routes().stream().anyMatch(r -> !r.acceptsAnonymous());
    boolean keyExists = accounts.all().stream().anyMatch(a -> !a.keys().isEmpty());
    if (keyNeeded && !keyExists) {
      fail("accounts", "there is no key, so only public routes can be called");
    }
    if (!keyNeeded && keyExists) {
      warn("accounts", "all routes are public, so no request needs a key");
    }
  }

  private static String where(Route r) {
    return "route " + (r.name().isEmpty() ? r.host() + r.pathPrefix() : r.name());
  }

  private void fail(String where, String message) {
    findings.add(ManifestFinding.error(where, message));
  }

  private void warn(String where, String message) {
    findings.add(ManifestFinding.warning(where, message));
  }
}
