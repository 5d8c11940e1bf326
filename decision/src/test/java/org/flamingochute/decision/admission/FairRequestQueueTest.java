package org.flamingochute.decision.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.flamingochute.decision.identity.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FairRequestQueueTest {

  private static final TeamId A = new TeamId("a");
  private static final TeamId B = new TeamId("b");
  private static final TeamId C = new TeamId("c");
  private static final long FAR_DEADLINE = 1_000_000;

  private static FairRequestQueue<Integer> queue(int bound, Map<TeamId, Integer> shares) {
    FairQueueSettings settings =
        FairQueueSettings.builder().bounds(new QueueBounds(bound, bound)).build();
    return new FairRequestQueue<>(settings, shares::get);
  }

  private static QueuedRequest<Integer> request(TeamId team, long deadline, int content) {
    return new QueuedRequest<>(team, 0, deadline, content);
  }

  private static String served(FairRequestQueue<Integer> queue, int count) {
    StringBuilder teams = new StringBuilder();
    for (int i = 0; i < count; i++) {
      queue.poll(0, team -> true).ifPresent(request -> teams.append(request.team()));
    }
    return teams.toString();
  }

  @ParameterizedTest
  @CsvSource({"1,1,abababab", "2,1,abaabaab", "3,1,abaaabaa"})
  void servesByShare(int shareA, int shareB, String expected) {
    FairRequestQueue<Integer> queue = queue(100, Map.of(A, shareA, B, shareB));
    for (int i = 0; i < 20; i++) {
      queue.offer(request(A, FAR_DEADLINE, i), 0);
      queue.offer(request(B, FAR_DEADLINE, i), 0);
    }
    assertThat(served(queue, expected.length()), equalTo(expected));
  }

  @ParameterizedTest
  @CsvSource({"0,0,0.5", "1,1,0.5", "1,0,0.33", "3,0,0.2", "0,4,0.83", "8,8,0.5"})
  void countsServiceOfOtherEntries(int remoteA, int remoteB, double expectedFractionOfA) {
    FairRequestQueue<Integer> queue = queue(4_000, Map.of(A, 1, B, 1));
    for (int i = 0; i < 2_000; i++) {
      queue.offer(request(A, FAR_DEADLINE, i), 0);
      queue.offer(request(B, FAR_DEADLINE, i), 0);
    }
    queue.observeServiceTime(A, 10);
    queue.observeServiceTime(B, 10);
    long servedA = 0;
    int polls = 1_000;
    for (int i = 0; i < polls; i++) {
      TeamId team = queue.poll(i * 10L, id -> true).orElseThrow().team();
      servedA += team.equals(A) ? 1 : 0;
      queue.observeRemoteService(team, team.equals(A) ? remoteA : remoteB);
    }
    assertThat((double) servedA / polls, closeTo(expectedFractionOfA, 0.03));
  }

  @Test
  void doesNotCompensateIdleTeam() {
    FairRequestQueue<Integer> queue = queue(1000, Map.of(A, 1, B, 1));
    for (int i = 0; i < 200; i++) {
      queue.offer(request(A, FAR_DEADLINE, i), 0);
    }
    served(queue, 100);
    for (int i = 0; i < 50; i++) {
      queue.offer(request(B, FAR_DEADLINE, i), 0);
    }
    long servedB = served(queue, 20).chars().filter(team -> team == 'b').count();
    assertThat((double) servedB, closeTo(10, 1));
  }

  @Test
  void doesNotCompensateTeamWithoutTokens() {
    FairRequestQueue<Integer> queue = queue(1000, Map.of(A, 1, B, 1));
    for (int i = 0; i < 200; i++) {
      queue.offer(request(A, FAR_DEADLINE, i), 0);
      queue.offer(request(B, FAR_DEADLINE, i), 0);
    }
    for (int i = 0; i < 100; i++) {
      assertThat(queue.poll(0, A::equals).orElseThrow().team(), equalTo(A));
    }
    long servedB = served(queue, 20).chars().filter(team -> team == 'b').count();
    assertThat((double) servedB, closeTo(10, 1));
  }

  @Test
  void evictsFromLargestBacklogRelativeToShare() {
    FairRequestQueue<Integer> queue = queue(4, Map.of(A, 1, B, 1));
    for (int i = 0; i < 4; i++) {
      queue.offer(request(A, FAR_DEADLINE + i, i), 0);
    }
    OfferResult<Integer> result = queue.offer(request(B, FAR_DEADLINE, 9), 0);
    assertThat(
        result,
        equalTo(
            new OfferResult.QueuedWithEviction<>(
                new ShedRequest<>(request(A, FAR_DEADLINE + 3, 3), ShedReason.QUEUE_FULL))));
    assertThat(
        queue.offer(request(A, FAR_DEADLINE, 10), 0),
        equalTo(new OfferResult.Refused<>(ShedReason.QUEUE_FULL)));
    assertThat(queue.size(), equalTo(4));
  }

  @Test
  void refusesRequestsAboveTeamLimit() {
    FairQueueSettings settings = FairQueueSettings.builder().bounds(new QueueBounds(10, 2)).build();
    FairRequestQueue<Integer> queue = new FairRequestQueue<>(settings, team -> 1);
    queue.offer(request(A, FAR_DEADLINE, 1), 0);
    queue.offer(request(A, FAR_DEADLINE, 2), 0);
    assertThat(
        queue.offer(request(A, FAR_DEADLINE, 3), 0),
        equalTo(new OfferResult.Refused<>(ShedReason.TEAM_QUEUE_FULL)));
    assertThat(queue.offer(request(B, FAR_DEADLINE, 4), 0), instanceOf(OfferResult.Queued.class));
  }

  @Test
  void neverReturnsRequestThatCannotMeetItsDeadline() {
    FairRequestQueue<Integer> queue = queue(10, Map.of(A, 1));
    QueuedRequest<Integer> late = request(A, 500, 1);
    queue.offer(late, 0);
    queue.observeServiceTime(A, 100);
    assertThat(queue.poll(450, team -> true), equalTo(Optional.empty()));
    assertThat(
        queue.expire(450),
        equalTo(List.of(new ShedRequest<>(late, ShedReason.DEADLINE_UNREACHABLE))));
    assertThat(queue.expire(450), empty());
    assertThat(
        queue.offer(request(A, 500, 2), 450),
        equalTo(new OfferResult.Refused<>(ShedReason.DEADLINE_UNREACHABLE)));
  }

  @Test
  void slowResponseDoesNotBlockLaterRequests() {
    FairRequestQueue<Integer> queue = queue(10, Map.of(A, 1));
    queue.observeServiceTime(A, 4_000);
    QueuedRequest<Integer> next = new QueuedRequest<>(A, 100, 5_100, 2);
    assertThat(queue.offer(next, 100), instanceOf(OfferResult.Queued.class));
    assertThat(queue.poll(101, team -> true), equalTo(Optional.of(next)));
  }

  @Test
  void servesByDeadlineAndNewestUnderOverload() {
    FairRequestQueue<Integer> queue = queue(10, Map.of(A, 1));
    queue.offer(new QueuedRequest<>(A, 0, 9_000, 1), 0);
    queue.offer(new QueuedRequest<>(A, 1, 8_000, 2), 1);
    queue.offer(new QueuedRequest<>(A, 2, 9_500, 3), 2);
    assertThat(queue.poll(10, team -> true).orElseThrow().content(), equalTo(2));
    assertThat(queue.poll(1_000, team -> true).orElseThrow().content(), equalTo(3));
  }

  @Test
  void removesOnlyWaitingRequests() {
    FairRequestQueue<Integer> queue = queue(10, Map.of(A, 1));
    QueuedRequest<Integer> request = request(A, FAR_DEADLINE, 1);
    queue.offer(request, 0);
    assertThat(queue.remove(request(A, FAR_DEADLINE, 1)), equalTo(false));
    assertThat(queue.remove(request), equalTo(true));
    assertThat(queue.remove(request), equalTo(false));
    assertThat(queue.size(A), equalTo(0));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void everyRequestLeavesQueueExactlyOnce(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    FairRequestQueue<Integer> queue = queue(20, Map.of(A, 3, B, 1, C, 2));
    List<TeamId> teams = List.of(A, B, C);
    Set<Integer> removedRequests = new HashSet<>();
    int duplicates = 0;
    int offered = 0;
    for (long now = 0; now < 20_000; now += 1 + random.nextInt(8)) {
      TeamId team = teams.get(random.nextInt(3));
      long deadline = now + random.nextInt(400);
      QueuedRequest<Integer> request = new QueuedRequest<>(team, now, deadline, offered++);
      switch (queue.offer(request, now)) {
        case OfferResult.Queued<Integer> queued -> {}
        case OfferResult.QueuedWithEviction<Integer> queued ->
            duplicates += removedRequests.add(queued.evicted().request().content()) ? 0 : 1;
        case OfferResult.Refused<Integer> refused ->
            duplicates += removedRequests.add(request.content()) ? 0 : 1;
      }
      if (random.nextInt(3) == 0) {
        Optional<QueuedRequest<Integer>> next = queue.poll(now, id -> random.nextInt(4) > 0);
        if (next.isPresent()) {
          duplicates += removedRequests.add(next.get().content()) ? 0 : 1;
          assertThat(next.get().deadlineMilliseconds(), greaterThanOrEqualTo(now));
        }
        queue.observeServiceTime(team, random.nextInt(60));
      }
      for (ShedRequest<Integer> shed : queue.expire(now)) {
        duplicates += removedRequests.add(shed.request().content()) ? 0 : 1;
      }
    }
    queue.expire(FAR_DEADLINE).forEach(shed -> removedRequests.add(shed.request().content()));
    assertThat(duplicates, equalTo(0));
    assertThat(removedRequests, hasSize(offered));
    assertThat(queue.size(), equalTo(0));
  }
}
