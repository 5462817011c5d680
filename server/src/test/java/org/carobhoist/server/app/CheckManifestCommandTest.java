package org.carobhoist.server.app;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against faulty manifests that are found only after they have been published. */
final class CheckManifestCommandTest {

  private static final String LIMITS =
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
  private static final String SERVICES = "\"services\":[{\"name\":\"app\"}]";
  private static final String BOOKINGS =
      route("bookings", "a.example", "/seat/", "\"service\":\"app\"");

  @TempDir private Path folder;

  private final StringWriter out = new StringWriter();

  private static String route(String name, String host, String prefix, String more) {
    return "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"kind\":\"idempotent\",%s}"
        .formatted(name, host, prefix, more);
  }

  private static String manifest(int version, String routes, String more) {
    return "{\"version\":%d,\"routes\":[%s],%s}".formatted(version, routes, more);
  }

  private Path write(String name, String content) throws IOException {
    return Files.writeString(folder.resolve(name), content);
  }

  private int check(String content, String... options) throws IOException {
    Path file = write("next.json", content);
    String[] args = new String[options.length + 2];
    args[0] = "check-manifest";
    args[1] = file.toString();
    System.arraycopy(options, 0, args, 2, options.length);
    return Main.commandLine().setOut(new PrintWriter(out)).execute(args);
  }

  @Test
  void soundManifestHasNoFinding() throws IOException {
    assertThat(check(manifest(1, BOOKINGS, SERVICES + "," + LIMITS))).isEqualTo(ExitCodes.DONE);
    assertThat(out.toString()).endsWith("next.json: good\n");
  }

  @Test
  void routeThatNeverMatchesIsWarnedOf() throws IOException {
    String twice = BOOKINGS + "," + route("other", "a.example", "/seat/", "\"service\":\"app\"");
    assertThat(check(manifest(1, twice, SERVICES + "," + LIMITS))).isEqualTo(ExitCodes.FAILED);
    assertThat(out.toString())
        .isEqualTo(
            "WARNING route other: never matches: route bookings has the same host and prefix\n");
  }

  @Test
  void routeToAnUnknownServiceIsAnError() throws IOException {
    String wrong = route("bookings", "a.example", "/seat/", "\"service\":\"none\"");
    assertThat(check(manifest(1, wrong, SERVICES + "," + LIMITS))).isEqualTo(ExitCodes.USAGE);
    assertThat(out.toString())
        .contains("ERROR route bookings: service none isn't in the manifest\n");
    assertThat(out.toString()).contains("WARNING service app: no route uses it\n");
  }

  @Test
  void limitsThatContradictEachOtherAreWarnedOf() throws IOException {
    String wrong =
        route(
            "bookings",
            "a.example",
            "/seat/",
            "\"service\":\"app\",\"timeout_ms\":500,\"target_latency_ms\":800");
    String limits = LIMITS.replace("3000", "20000");
    assertThat(check(manifest(1, wrong, SERVICES + "," + limits))).isEqualTo(ExitCodes.FAILED);
    assertThat(out.toString())
        .isEqualTo(
            "WARNING route bookings: the target latency is above the timeout\n"
                + "WARNING limits: the time for a head is above the idle time of a connection\n");
  }

  @Test
  void accountsWithoutUseAreFound() throws IOException {
    String accounts = ",\"tenants\":[{\"name\":\"t1\",\"api_keys\":[]}]";
    assertThat(check(manifest(1, BOOKINGS, SERVICES + "," + LIMITS + accounts)))
        .isEqualTo(ExitCodes.USAGE);
    assertThat(out.toString())
        .isEqualTo(
            "WARNING account t1: has no key, so no request can belong to it\n"
                + "ERROR accounts: there is no key, so only public routes can be called\n");
  }

  @Test
  void differencesFromTheManifestInForceAreShownWithoutKeys() throws IOException {
    String accounts = ",\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"secret-key\"]}]";
    Path inForce = write("old.json", manifest(4, BOOKINGS, SERVICES + "," + LIMITS));
    String next =
        manifest(
            5,
            route("b2", "a.example", "/more/", "\"service\":\"app\""),
            SERVICES + "," + LIMITS + accounts);
    assertThat(check(next, "--against", inForce.toString())).isEqualTo(ExitCodes.DONE);
    assertThat(out.toString()).contains("ADDED account t1\n");
    assertThat(out.toString()).contains("CHANGED accounts\n  - disabled\n  + enabled\n");
    assertThat(out.toString()).contains("ADDED route a.example/more/\n");
    assertThat(out.toString()).contains("REMOVED route a.example/seat/\n");
    assertThat(out.toString()).doesNotContain("secret-key");
  }

  @Test
  void versionThatGatewaysIgnoreIsAnError() throws IOException {
    String same = manifest(4, BOOKINGS, SERVICES + "," + LIMITS);
    Path inForce = write("old.json", same);
    assertThat(check(same, "--against", inForce.toString(), "--json")).isEqualTo(ExitCodes.USAGE);
    assertThat(out.toString())
        .isEqualTo(
            "{\"findings\":[{\"severity\":\"ERROR\",\"where\":\"version\",\"message\":\"4 is not"
                + " above 4, so gateways ignore it\"}],\"changes\":[]}\n");
  }

  @Test
  void undecodableManifestIsAnError() throws IOException {
    assertThat(check("{\"version\":1")).isEqualTo(ExitCodes.USAGE);
    assertThat(out.toString()).startsWith("ERROR ");
  }
}
