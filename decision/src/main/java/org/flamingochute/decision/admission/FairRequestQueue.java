package org.flamingochute.decision.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import org.flamingochute.decision.identity.TeamId;

/**
 * Start-time fair queueing between teams, weighted by their shares, with shedding of requests that
 * cannot meet their deadline.
 *
 * <p>Each team has a position in virtual time. Each dispatched request advances it by the cost of
 * the request: the team's mean service time, divided by its share. The next request comes from the
 * eligible team with the smallest position, and the virtual time of the queue is the largest
 * position from which a request has been dispatched. A team that was idle or had no tokens resumes
 * at the virtual time of the queue if its own position is earlier, so that it is not compensated
 * for that time.
 *
 * <p>Example: team A has share 2, B share 1, and each request takes 10 ms. The positions of A after
 * its requests are 5, 10, 15, 20 and those of B 10, 20, so the order is A B A A B A, two to one.
 *
 * <p>All entries together serve in proportion to the shares, even if the requests of the teams are
 * distributed unevenly over the entries: the cost of a request is multiplied by the number of
 * requests of the team that all entries start for each one started here. If the requests of A
 * arrive at three entries evenly and those of B only at this one, the cost of each request of A is
 * tripled here. Adding the service reported by other entries to the position would also be right on
 * average, but then all entries would correct the same difference at once, and overshoot.
 *
 * <p>Under overload, requests that are expected to be late are removed before they use an endpoint:
 * a request is dispatched only if the time left until its deadline is at least the upper estimate
 * of the service time, limited to half of the time between arrival and deadline. If the queue is
 * full, a new request evicts the request with the latest deadline of the team that has the most
 * waiting requests relative to its share, so that no team can keep others out. The new request is
 * refused instead if its own team would then have as many or more, relative to its share.
 */
public final class FairRequestQueue<T> implements RequestQueue<T> {

  private final FairQueueSettings settings;
  private final ShareSource shares;
  private final ReentrantLock lock = new ReentrantLock();
  private final Map<TeamId, TeamBacklog<T>> teams = new HashMap<>();
  private final Map<TeamId, TeamBacklog<T>> backloggedTeams = new HashMap<>();
  private final List<ShedRequest<T>> unreachableRequests = new ArrayList<>();
  private double virtualTime;
  private long nextSequence;
  private int waiting;

  /** Creates an empty queue. */
  public FairRequestQueue(FairQueueSettings settings, ShareSource shares) {
    this.settings = settings;
    this.shares = shares;
  }

  @Override
  public OfferResult<T> offer(QueuedRequest<T> request, long nowMilliseconds) {
    lock.lock();
    try {
      TeamBacklog<T> team = team(request.team());
      if (team.isUnreachable(request, nowMilliseconds)) {
        return new OfferResult.Refused<>(ShedReason.DEADLINE_UNREACHABLE);
      }
      if (team.size() >= settings.bounds().maximumWaitingPerTeam()) {
        return new OfferResult.Refused<>(ShedReason.TEAM_QUEUE_FULL);
      }
      if (waiting < settings.bounds().maximumWaiting()) {
        add(team, request);
        return new OfferResult.Queued<>();
      }
      return offerToFullQueue(team, request);
    } finally {
      lock.unlock();
    }
  }

  private OfferResult<T> offerToFullQueue(TeamBacklog<T> team, QueuedRequest<T> request) {
    TeamId longest = teamWithLongestBacklog();
    double longestWeightedBacklog = (double) backloggedTeams.get(longest).size() / share(longest);
    double ownWeightedBacklog = (double) (team.size() + 1) / share(request.team());
    if (ownWeightedBacklog >= longestWeightedBacklog) {
      return new OfferResult.Refused<>(ShedReason.QUEUE_FULL);
    }
    QueuedRequest<T> evicted = backloggedTeams.get(longest).removeLatestDeadline();
    updateAfterRemoval(longest);
    add(team, request);
    return new OfferResult.QueuedWithEviction<>(new ShedRequest<>(evicted, ShedReason.QUEUE_FULL));
  }

  @Override
  public Optional<QueuedRequest<T>> poll(long nowMilliseconds, Predicate<TeamId> eligible) {
    lock.lock();
    try {
      removeUnreachable(nowMilliseconds);
      TeamId next = nextTeam(eligible);
      if (next == null) {
        return Optional.empty();
      }
      TeamBacklog<T> team = backloggedTeams.get(next);
      QueuedRequest<T> request = team.removeNext(settings.order(), nowMilliseconds);
      updateAfterRemoval(next);
      chargeRequest(next, team, nowMilliseconds);
      return Optional.of(request);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public List<ShedRequest<T>> expire(long nowMilliseconds) {
    lock.lock();
    try {
      removeUnreachable(nowMilliseconds);
      List<ShedRequest<T>> shed = List.copyOf(unreachableRequests);
      unreachableRequests.clear();
      return shed;
    } finally {
      lock.unlock();
    }
  }

  @Override
  public boolean remove(QueuedRequest<T> request) {
    lock.lock();
    try {
      TeamBacklog<T> team = backloggedTeams.get(request.team());
      if (team == null || !team.removeIdentical(request)) {
        return false;
      }
      updateAfterRemoval(request.team());
      return true;
    } finally {
      lock.unlock();
    }
  }

  @Override
  public void observeServiceTime(TeamId team, double milliseconds) {
    lock.lock();
    try {
      team(team).serviceTime().observe(milliseconds);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public void observeRemoteService(TeamId team, double requests) {
    lock.lock();
    try {
      team(team).fleetService().addRemote(requests);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public int size() {
    lock.lock();
    try {
      return waiting;
    } finally {
      lock.unlock();
    }
  }

  @Override
  public int size(TeamId team) {
    lock.lock();
    try {
      TeamBacklog<T> backlog = backloggedTeams.get(team);
      return backlog == null ? 0 : backlog.size();
    } finally {
      lock.unlock();
    }
  }

  private TeamBacklog<T> team(TeamId id) {
    return teams.computeIfAbsent(
        id, key -> new TeamBacklog<>(settings.initialServiceMilliseconds(), virtualTime));
  }

  private void add(TeamBacklog<T> team, QueuedRequest<T> request) {
    if (team.isEmpty()) {
      team.setVirtualFinish(Math.max(team.virtualFinish(), virtualTime));
      backloggedTeams.put(request.team(), team);
    }
    team.add(request, nextSequence++);
    waiting++;
  }

  private void updateAfterRemoval(TeamId id) {
    waiting--;
    if (backloggedTeams.get(id).isEmpty()) {
      backloggedTeams.remove(id);
    }
  }

  private TeamId nextTeam(Predicate<TeamId> eligible) {
    TeamId best = null;
    double smallestStart = Double.POSITIVE_INFINITY;
    for (Map.Entry<TeamId, TeamBacklog<T>> entry : backloggedTeams.entrySet()) {
      TeamBacklog<T> team = entry.getValue();
      if (!eligible.test(entry.getKey())) {
        team.setVirtualFinish(Math.max(team.virtualFinish(), virtualTime));
        continue;
      }
      double start = team.virtualFinish();
      if (start < smallestStart || (start == smallestStart && entry.getKey().compareTo(best) < 0)) {
        best = entry.getKey();
        smallestStart = start;
      }
    }
    return best;
  }

  private void chargeRequest(TeamId id, TeamBacklog<T> team, long nowMilliseconds) {
    virtualTime = Math.max(virtualTime, team.virtualFinish());
    FleetServiceRatio fleetService = team.fleetService();
    fleetService.decay(nowMilliseconds);
    fleetService.addLocal();
    double cost = team.serviceTime().longMeanMilliseconds() * fleetService.ratio() / share(id);
    team.setVirtualFinish(team.virtualFinish() + cost);
  }

  private TeamId teamWithLongestBacklog() {
    TeamId longest = null;
    double longestWeightedBacklog = -1;
    for (Map.Entry<TeamId, TeamBacklog<T>> entry : backloggedTeams.entrySet()) {
      double weightedBacklog = (double) entry.getValue().size() / share(entry.getKey());
      if (weightedBacklog > longestWeightedBacklog) {
        longest = entry.getKey();
        longestWeightedBacklog = weightedBacklog;
      }
    }
    return longest;
  }

  private void removeUnreachable(long nowMilliseconds) {
    Iterator<TeamBacklog<T>> iterator = backloggedTeams.values().iterator();
    while (iterator.hasNext()) {
      TeamBacklog<T> team = iterator.next();
      Optional<QueuedRequest<T>> unreachable = team.removeUnreachable(nowMilliseconds);
      while (unreachable.isPresent()) {
        waiting--;
        unreachableRequests.add(
            new ShedRequest<>(unreachable.get(), ShedReason.DEADLINE_UNREACHABLE));
        unreachable = team.removeUnreachable(nowMilliseconds);
      }
      if (team.isEmpty()) {
        iterator.remove();
      }
    }
  }

  private int share(TeamId team) {
    return Math.max(1, shares.share(team));
  }
}
