package lab;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A trainer whose first group has an item that servers answer with 422 and, with trouble, one whose
 * text is the longest of the site file. The group isn't complete at the end of a step, so it comes
 * again in the next.
 */
final class Failures {

  private static final int STEPS = 9;
  /** The step in which the group is asked for first; by then versions change with each step. */
  private static final int FIRST = 3;

  private static final int DEADLINE_MILLIS = 7_500;
  private static final int GROUPS = 6;
  private static final int WANTED = 5;
  private static final int USUAL_EVENTS = 24;
  private static final int MOST_EVENTS = 178;
  private static final long EVENT_MILLIS = 53;
  private static final int MOST_422 = 3;
  private static final Pattern LISTED = Pattern.compile("\"id\":\"([^\"]+)\",\"state\":\"(\\w+)\"");
  private static final Pattern NEXT = Pattern.compile("\"next\":(\\d+)");

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(args[0]));
    Path folder = Files.createTempDirectory("lab3");
    Store store = new Store();
    store.put("keyed.op", "config", Docs.manifest(3, 3, "m0"));
    String failing = "bad0000000000001";
    String longest = "a1000000000000ff";
    AtomicInteger refusals = new AtomicInteger();
    AtomicInteger late = new AtomicInteger();
    for (int i = 1; i <= 3; i++) {
      new Engine("i-" + i, "lm", "a", store, true, (engine, call, out) -> {
        boolean fails = call.id().equals(failing);
        record.add("run", "server", engine.id, "id", call.id(), "after",
            call.headers().getOrDefault("last-event-id", "-"));
        if (fails) {
          int before = refusals.getAndIncrement();
          if (before >= MOST_422) {
            late.incrementAndGet();
            record.add("BROKEN", "id", call.id(), "answers_of_422_before", before);
          }
          Engine.answer(out, call, 422, "Carobhoist-Server-Stamp: " + Engine.stamp() + "\r\n",
              new byte[0]);
          return;
        }
        boolean isLong = trouble && call.id().equals(longest);
        engine.stream(out, call, "m0", isLong ? MOST_EVENTS : USUAL_EVENTS, EVENT_MILLIS,
            "w".repeat(320));
      }, "m0");
    }
    List<Gateway> all = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      all.add(Gateway.create(folder, "front-" + i, "a", store.address(), ""));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> all.forEach(Gateway::end)));
    for (Gateway g : all) {
      g.start();
    }
    if (!Threads.await(30_000, () -> all.stream().allMatch(Gateway::isReady))) {
      record.add("end", "why", "the machines don't become ready");
      System.exit(2);
    }
    Threads.sleep(4_000);

    Map<String, List<String>> carried = new TreeMap<>();
    int made = 0;
    for (int step = 0; step < STEPS; step++) {
      int newest = Math.max(1, step);
      if (step > 1) {
        record.add("version", "model", "m0", "version", newest);
        store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":" + newest + "}");
      }
      Map<String, List<String>> groups = new TreeMap<>(carried);
      Set<String> required = new HashSet<>(carried.keySet());
      for (int g = 0; groups.size() < GROUPS; g++) {
        List<String> ids = new ArrayList<>();
        String group = "g" + (made++ + 1000);
        for (int i = 0; i < 4; i++) {
          ids.add(String.format("c%07d%08d", made, i));
        }
        if (step == FIRST && g == 0) {
          ids.set(0, failing);
          ids.set(1, longest);
        }
        groups.put(group, ids);
      }
      Map<String, String> states =
          step(record, all, store, step, Math.max(1, newest - 1), groups, required);
      carried.clear();
      groups.forEach((group, ids) -> {
        if (!states.keySet().containsAll(ids) && carried.size() < WANTED / 2) {
          carried.put(group, ids);
        }
      });
      record.add("step_end", "step", step, "listed", states.size(), "incomplete", carried.keySet());
      Threads.sleep(500);
    }
    record.add("end", "answers_of_422", refusals.get(), "broken", late.get() > 0);
    System.exit(late.get() > 0 ? 1 : refusals.get() == 0 ? 2 : 0);
  }

  /** Runs one step as a trainer does; returns the states of the listed items. */
  private static Map<String, String> step(Record record, List<Gateway> all, Store store, int step,
      int minVersion, Map<String, List<String>> groups, Set<String> required) {
    List<String> items = new ArrayList<>();
    List<String> order = new ArrayList<>(groups.keySet());
    order.sort((a, b) -> Boolean.compare(required.contains(b), required.contains(a)));
    for (String group : order) {
      for (String id : groups.get(group)) {
        items.add(Docs.item("m0", id, "/lot/3/" + id, "q83vEjRWeJA=")
            .replace("\"group\":\"g1\"", "\"group\":\"" + group + "\""));
      }
    }
    String job = String.format("7c41e09b%08x", step);
    byte[] body = Docs.jobOf("m0", step, minVersion, String.join(",", items))
        .replace("\"desired_count\":1", "\"desired_count\":" + WANTED)
        .getBytes(StandardCharsets.UTF_8);
    int status = 0;
    long begin = record.millis();
    for (int k = 0; status != 202 && k < 8; k++) {
      status = Wire.submit(all.get(k % 2).front, job, new String(body, StandardCharsets.UTF_8))
          .status();
    }
    record.add("job", "id", job, "step", step, "min_version", minVersion, "items", items.size(),
        "status", status, "again", required);
    Map<String, String> states = new HashMap<>();
    int next = 0;
    while (record.millis() - begin < DEADLINE_MILLIS && !isDone(groups, required, states)) {
      Wire.Answer a = Wire.call(all.get(step % 2).front, "GET",
          "/-/lots/" + job + "?after=" + next, "jobs.example", "Carobhoist-Wait-Ms: 500\r\n",
          new byte[0], 2_000);
      Matcher n = NEXT.matcher(a.text());
      if (a.status() == 200 && n.find()) {
        next = Integer.parseInt(n.group(1));
        for (Matcher m = LISTED.matcher(a.text()); m.find(); ) {
          states.put(m.group(1), m.group(2));
        }
      }
    }
    int end = Wire.call(all.get(step % 2).front, "DELETE", "/-/lots/" + job, "jobs.example", "",
        new byte[0], 3_000).status();
    record.add("job_end", "id", job, "status", end, "ms", record.millis() - begin);
    return states;
  }

  private static boolean isDone(
      Map<String, List<String>> groups, Set<String> required, Map<String, String> states) {
    long complete = groups.values().stream().filter(states.keySet()::containsAll).count();
    return complete >= WANTED
        && required.stream().allMatch(g -> states.keySet().containsAll(groups.get(g)));
  }

}
