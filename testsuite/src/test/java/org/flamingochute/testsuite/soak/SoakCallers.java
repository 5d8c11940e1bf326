package org.flamingochute.testsuite.soak;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Callers that keep their connections open, each with one job, drawn from the seed. */
final class SoakCallers {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final String API_KEY = "soak-key";
  private static final String FLOOD_API_KEY = "flood-key";
  private static final String FLOOD_QUEUE = "/flood/";

  /** Several times the weight of the team that floods its queue. */
  private static final int FLOOD_JOBS_PER_SECOND = 15;

  private static final long FLOOD_MILLISECONDS = 5_000;
  private static final int MAXIMUM_FLOOD_DELAY_MILLISECONDS = 3_000;

  /** As in the queues of the users. */
  private static final int SLOWNESS = 7;

  /** Work above which no run is slow, so that accepted jobs end in time. */
  private static final long MAXIMUM_SLOW_WORK_MILLISECONDS = 1_000;

  private static final double SLOW_RUNS_SHARE = 0.4;
  private static final double COPIES_SHARE = 0.6;
  private static final int JOBS_PER_WRONG_ESTIMATE = 4;
  private static final int WRONG_ESTIMATE_DIVISOR = 5;
  private static final long POLL_MILLISECONDS = 400;
  private static final int MAXIMUM_CANCELS = 100;

  /** Work of a task that its caller cancels: it outlasts the run of the soak. */
  private static final long CANCELLED_WORK_MILLISECONDS = 600_000;

  private static final double CANCEL_SHARE = 0.12;
  private static final double RESEND_SHARE = 0.1;
  private static final double LONG_WORK_SHARE = 0.2;
  private static final double TWO_STEPS_SHARE = 0.3;

  /** Processors of a task that outlasts the longest lease, in thousandths of a core. */
  private static final long LASTING_MILLICORES = 120;

  /**
   * Jobs of a burst where tasks outlast the longest lease. Their starts need new connections, which
   * may reach the next incarnation of a worker that is down.
   */
  private static final int BURST_JOBS = 6;

  /** Share of the jobs whose tasks outlast the longest lease. */
  private final double lastingShare;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();
  private final List<SoakNode> nodes;
  private final List<JobStory> stories = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new ArrayList<>();

  SoakCallers(List<SoakNode> nodes, double lastingShare) {
    this.nodes = nodes;
    this.lastingShare = lastingShare;
  }

  List<JobStory> stories() {
    return stories;
  }

  /** Submits jobs at random times until the duration has passed. */
  void run(UniformRandomProvider random, long durationMilliseconds, double jobsPerSecond) {
    try {
      submit(random, durationMilliseconds, jobsPerSecond);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void submit(UniformRandomProvider random, long durationMilliseconds, double jobsPerSecond)
      throws InterruptedException {
    long end = System.currentTimeMillis() + durationMilliseconds;
    while (System.currentTimeMillis() < end) {
      JobStory story = drawStory(random);
      UniformRandomProvider ownRandom = RandomSource.XO_SHI_RO_256_SS.create(random.nextLong());
      stories.add(story);
      threads.add(Thread.startVirtualThread(() -> live(story, ownRandom)));
      int burst = lastingShare > 0 ? BURST_JOBS : 1;
      if (random.nextInt(burst) == 0) {
        Thread.sleep(
            Math.round(-Math.log(1 - random.nextDouble()) * 1_000 * burst / jobsPerSecond));
      }
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /** Submits jobs of a team above its weight for a while. */
  void flood(UniformRandomProvider random) {
    try {
      List<Thread> floodThreads = new ArrayList<>();
      Thread.sleep(random.nextInt(MAXIMUM_FLOOD_DELAY_MILLISECONDS));
      long end = System.currentTimeMillis() + FLOOD_MILLISECONDS;
      while (System.currentTimeMillis() < end) {
        JobStory story = drawFloodStory(random);
        UniformRandomProvider ownRandom = RandomSource.XO_SHI_RO_256_SS.create(random.nextLong());
        stories.add(story);
        floodThreads.add(Thread.startVirtualThread(() -> live(story, ownRandom)));
        Thread.sleep(1_000 / FLOOD_JOBS_PER_SECOND);
      }
      for (Thread thread : floodThreads) {
        thread.join();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static JobStory drawFloodStory(UniformRandomProvider random) {
    String job = "%016x".formatted(random.nextLong());
    SoakSpec spec =
        new SoakSpec(random.nextInt(100, 500), random.nextInt(100, 400), 0, false, 1, job);
    return new JobStory(job, FLOOD_QUEUE, spec, List.of(random.nextInt(1, 3)), Set.of());
  }

  private JobStory drawStory(UniformRandomProvider random) {
    long jobNumber = random.nextLong();
    // A generator of its own leaves the other jobs of a seed as they are.
    final UniformRandomProvider featureRandom = RandomSource.SPLIT_MIX_64.create(jobNumber);
    String job = "%016x".formatted(jobNumber);
    boolean isCancelled = random.nextDouble() < CANCEL_SHARE;
    boolean isLasting = !isCancelled && random.nextDouble() < lastingShare;
    long work =
        isCancelled
            ? CANCELLED_WORK_MILLISECONDS
            : isLasting ? random.nextInt(11_000, 16_000) : drawWork(random);
    boolean hasSlowRuns =
        featureRandom.nextDouble() < SLOW_RUNS_SHARE && work <= MAXIMUM_SLOW_WORK_MILLISECONDS;
    final SoakSpec spec =
        new SoakSpec(
            work,
            isLasting ? LASTING_MILLICORES : random.nextInt(100, 900),
            !isLasting && random.nextInt(4) == 0 ? 1 : 0,
            random.nextBoolean(),
            hasSlowRuns ? SLOWNESS : 1,
            job);
    List<Integer> steps = new ArrayList<>();
    steps.add(isLasting ? random.nextInt(2, 7) : random.nextInt(1, 4));
    if (!isLasting && random.nextDouble() < TWO_STEPS_SHARE) {
      steps.add(random.nextInt(1, 3));
    }
    Set<Integer> stepsWithCopies = new HashSet<>();
    for (int step = 0; step < steps.size(); step++) {
      if (featureRandom.nextDouble() < COPIES_SHARE) {
        stepsWithCopies.add(step);
      }
    }
    String queue = random.nextInt(3) == 0 ? "/rush/" : "/orders/";
    return new JobStory(job, queue, spec, steps, stepsWithCopies);
  }

  /** Most tasks are short; the others outlast a lease, a restart or a cancel. */
  private static long drawWork(UniformRandomProvider random) {
    return random.nextDouble() < LONG_WORK_SHARE
        ? random.nextInt(2_000, 7_000)
        : random.nextInt(100, 1_800);
  }

  private void live(JobStory story, UniformRandomProvider random) {
    try {
      int maximumCalls = random.nextBoolean() ? 1 : random.nextInt(2, 6);
      boolean isAccepted = false;
      for (int i = 0; i < maximumCalls && !isAccepted; i++) {
        isAccepted = call(story, "POST", body(story), random) == JobStory.OK;
        Thread.sleep(isAccepted ? 0 : random.nextInt(100, 600));
      }
      if (random.nextDouble() < RESEND_SHARE && isAccepted) {
        Thread.sleep(random.nextInt(500, 4_000));
        call(story, "POST", body(story), random);
      }
      boolean isCancelled = story.spec().workMilliseconds() == CANCELLED_WORK_MILLISECONDS;
      if (isCancelled && !story.isRefusedEverywhere()) {
        Thread.sleep(random.nextInt(100, 2_500));
        cancel(story, random);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void cancel(JobStory story, UniformRandomProvider random) throws InterruptedException {
    for (int i = 0; i < MAXIMUM_CANCELS; i++) {
      int status = call(story, "DELETE", "", random);
      if (status == JobStory.OK || status == JobStory.GONE) {
        return;
      }
      Thread.sleep(random.nextInt(200, 800));
    }
  }

  /** Asks for the state of each accepted job until all have ended or the time is up. */
  void awaitEnds(UniformRandomProvider random, long timeoutMilliseconds)
      throws InterruptedException {
    long end = System.currentTimeMillis() + timeoutMilliseconds;
    boolean areAllEnded = false;
    while (!areAllEnded && System.currentTimeMillis() < end) {
      areAllEnded = true;
      for (JobStory story : stories) {
        if (story.isAccepted() && !story.isEnded()) {
          call(story, "GET", "", random);
          areAllEnded &= story.isEnded();
        }
      }
      Thread.sleep(POLL_MILLISECONDS);
    }
  }

  private static String body(JobStory story) {
    boolean isWrong = story.job().hashCode() % JOBS_PER_WRONG_ESTIMATE == 0;
    StringBuilder steps = new StringBuilder();
    for (int i = 0; i < story.stepSizes().size(); i++) {
      steps.append(i == 0 ? "" : ",");
      steps.append(
          "{\"count\":%d,\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":%d,\"image\":\"%s\"%s%s%s}"
              .formatted(
                  story.stepSizes().get(i),
                  story.spec().millicores(),
                  story.spec().workMilliseconds() / (isWrong ? WRONG_ESTIMATE_DIVISOR : 1),
                  isWrong ? "underestimated" : "estimated",
                  story.allowsCopies(i) ? ",\"speculative\":true" : "",
                  story.spec().checkpoints() ? ",\"checkpoints\":true" : "",
                  i == 0 ? "" : ",\"depends_on\":[" + (i - 1) + "]"));
    }
    return "{\"spec\":\"%s\",\"job_steps\":[%s]}".formatted(story.spec().text(), steps);
  }

  private int call(JobStory story, String method, String body, UniformRandomProvider random)
      throws InterruptedException {
    List<SoakNode> reachable =
        nodes.stream().filter(node -> !node.address().isEmpty() && node.isAlive()).toList();
    if (reachable.isEmpty()) {
      return JobStory.NOT_SENT;
    }
    SoakNode node = reachable.get(random.nextInt(reachable.size()));
    String address = node.address();
    if (address.isEmpty()) {
      return JobStory.NOT_SENT;
    }
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + story.queue() + story.job()))
            .timeout(TIMEOUT)
            .header(
                "Authorization",
                "Token " + (story.queue().equals(FLOOD_QUEUE) ? FLOOD_API_KEY : API_KEY))
            .header("Content-Type", "application/json")
            .header("X-Timeout-Ms", Long.toString(TIMEOUT.toMillis()))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    long sentAt = System.currentTimeMillis();
    int status;
    String text;
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      status = response.statusCode();
      text = response.body();
    } catch (ConnectException | HttpConnectTimeoutException e) {
      status = JobStory.NOT_SENT;
      text = e.toString();
    } catch (IOException e) {
      status = JobStory.NO_RESPONSE;
      text = e.toString();
    }
    story.add(
        new JobStory.Call(method, node.name(), sentAt, System.currentTimeMillis(), status, text));
    return status;
  }
}
