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
 * Start-time fair queueing between teams by their shares, with shedding of requests that cannot
 * meet their deadline.
 *
 * <p>Each team has a position in virtual time: the service time that it received, divided by its
 * share. The next request is taken from the eligible team with the smallest position, and the
 * virtual time of the queue is the position of the team that was served last. A team that comes
 * back from being idle, or from being out of tokens, starts at the virtual time of the queue, so
 * that it is neither owed service for the time that it was away nor held back for it.
 *
 * <p>Example: team A has share 2, B share 1, and each request takes 10 ms. Positions of A after its
 * requests are 5, 10, 15, 20 and those of B 10, 20, so that the order is A B A A B A, two to one.
 *
 * <p>The entries together serve by share even when the teams' requests reach them unevenly: each
 * request of a team counts as many times as all entries started requests of the team for each one
 * started here. When A's requests reach three entries evenly and B's only this one, each of A
 * counts threefold. Adding the others' service to the position as it is reported would be right on
 * average too, but all entries would then correct the same difference at once, and overshoot.
 *
 * <p>Under overload the requests that are certain to be late are removed before they cost an
 * endpoint any time: a request is taken only while the time left is at least the upper estimate of
 * the service time, or half of the time that it came with when the estimate is larger. When the
 * queue is full, a request pushes out the one with the latest deadline of the team that has most
 * requests waiting for its share, so that no team can keep others out.
 */
public final class FairRequestQueue<T> implements RequestQueue<T> {

  private final FairQueueSettings settings;
  private final ShareSource shares;
  private final ReentrantLock lock = new ReentrantLock();
  private final Map<TeamId, TeamBacklog<T>> teams = new HashMap<>();
  private final Map<TeamId, TeamBacklog<T>> backlogged = new HashMap<>();
  private final List<ShedRequest<T>> passedOver = new ArrayList<>();
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
    double longestPart = (double) backlogged.get(longest).size() / share(longest);
    double ownPart = (double) (team.size() + 1) / share(request.team());
    if (ownPart >= longestPart) {
      return new OfferResult.Refused<>(ShedReason.QUEUE_FULL);
    }
    QueuedRequest<T> evicted = backlogged.get(longest).removeLatestDeadline();
    removed(longest);
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
      TeamBacklog<T> team = backlogged.get(next);
      QueuedRequest<T> request = team.removeNext(settings.order(), nowMilliseconds);
      removed(next);
      charge(next, team, nowMilliseconds);
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
      List<ShedRequest<T>> shed = List.copyOf(passedOver);
      passedOver.clear();
      return shed;
    } finally {
      lock.unlock();
    }
  }

  @Override
  public boolean withdraw(QueuedRequest<T> request) {
    lock.lock();
    try {
      TeamBacklog<T> team = backlogged.get(request.team());
      if (team == null || !team.removeSame(request)) {
        return false;
      }
      removed(request.team());
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
      TeamBacklog<T> backlog = backlogged.get(team);
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
      backlogged.put(request.team(), team);
    }
    team.add(request, nextSequence++);
    waiting++;
  }

  private void removed(TeamId id) {
    waiting--;
    if (backlogged.get(id).isEmpty()) {
      backlogged.remove(id);
    }
  }

  private TeamId nextTeam(Predicate<TeamId> eligible) {
    TeamId best = null;
    double bestStart = Double.POSITIVE_INFINITY;
    for (Map.Entry<TeamId, TeamBacklog<T>> entry : backlogged.entrySet()) {
      TeamBacklog<T> team = entry.getValue();
      if (!eligible.test(entry.getKey())) {
        team.setVirtualFinish(Math.max(team.virtualFinish(), virtualTime));
        continue;
      }
      double start = team.virtualFinish();
      if (start < bestStart || (start == bestStart && entry.getKey().compareTo(best) < 0)) {
        best = entry.getKey();
        bestStart = start;
      }
    }
    return best;
  }

  private void charge(TeamId id, TeamBacklog<T> team, long nowMilliseconds) {
    virtualTime = Math.max(virtualTime, team.virtualFinish());
    FleetServiceRatio fleetService = team.fleetService();
    fleetService.age(nowMilliseconds);
    fleetService.addLocal();
    double cost = team.serviceTime().longMeanMilliseconds() * fleetService.ratio() / share(id);
    team.setVirtualFinish(team.virtualFinish() + cost);
  }

  private TeamId teamWithLongestBacklog() {
    TeamId longest = null;
    double longestPart = -1;
    for (Map.Entry<TeamId, TeamBacklog<T>> entry : backlogged.entrySet()) {
      double part = (double) entry.getValue().size() / share(entry.getKey());
      if (part > longestPart) {
        longest = entry.getKey();
        longestPart = part;
      }
    }
    return longest;
  }

  private void removeUnreachable(long nowMilliseconds) {
    Iterator<TeamBacklog<T>> iterator = backlogged.values().iterator();
    while (iterator.hasNext()) {
      TeamBacklog<T> team = iterator.next();
      Optional<QueuedRequest<T>> late = team.removeUnreachable(nowMilliseconds);
      while (late.isPresent()) {
        waiting--;
        passedOver.add(new ShedRequest<>(late.get(), ShedReason.DEADLINE_UNREACHABLE));
        late = team.removeUnreachable(nowMilliseconds);
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
