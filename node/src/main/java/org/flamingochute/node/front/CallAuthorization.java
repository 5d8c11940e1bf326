package org.flamingochute.node.front;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.vavr.control.Either;
import java.util.Optional;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Queue;

/**
 * Finds the queue that a call is for, and the team whose key came with it.
 *
 * <p>A withdrawn key must stop working in time also at an entry that is cut off from the store. So
 * a key is judged only by a declaration that was confirmed lately, and the age is taken by the
 * slower of two clocks, since one of them stands still while the machine is suspended.
 */
final class CallAuthorization {
  private static final String SCHEME = "Token ";

  private final FleetState state;
  private final StoreFollower declarations;
  private final long maximumAgeMilliseconds;

  CallAuthorization(FleetState state, StoreFollower declarations, long maximumAgeMilliseconds) {
    this.state = state;
    this.declarations = declarations;
    this.maximumAgeMilliseconds = maximumAgeMilliseconds;
  }

  /**
   * A call that may be served.
   *
   * @param queue queue that it is for
   * @param team team of the caller; empty for a queue that is open to all
   * @param rest the path after the queue's prefix
   * @param version declaration that allowed it
   */
  record Authorized(Queue queue, Optional<TeamId> team, String rest, long version) {}

  /** Returns the authorized call, or the answer that refuses it. */
  Either<Answer, Authorized> authorize(HttpRequest request) {
    Optional<FleetDeclaration> declaration = state.declaration();
    if (declaration.isEmpty()) {
      return Either.left(Answer.refused(Answer.UNAVAILABLE, 1, "no declaration was read yet"));
    }
    String path = request.getPath();
    Optional<Queue> queue = declaration.get().queueFor(hostOf(request), path);
    if (queue.isEmpty()) {
      return Either.left(
          Answer.refused(
              Answer.NOT_FOUND,
              "no queue at this address in version " + declaration.get().version()));
    }
    String rest = path.substring(queue.get().pathPrefix().length());
    if (queue.get().open()) {
      return Either.right(
          new Authorized(queue.get(), Optional.empty(), rest, declaration.get().version()));
    }
    return authorizeKey(request, declaration.get(), queue.get(), rest);
  }

  private Either<Answer, Authorized> authorizeKey(
      HttpRequest request, FleetDeclaration declaration, Queue queue, String rest) {
    long age = declarations.ageMilliseconds();
    if (age > maximumAgeMilliseconds) {
      return Either.left(
          Answer.refused(
              Answer.UNAVAILABLE, 1, "keys cannot be checked, declaration is " + age + " ms old"));
    }
    String header = request.getHeader(HttpHeaders.AUTHORIZATION);
    Optional<TeamId> team =
        header == null || !header.startsWith(SCHEME)
            ? Optional.empty()
            : declaration.teamOfKey(header.substring(SCHEME.length()).strip());
    if (team.isEmpty()) {
      return Either.left(
          Answer.refused(
              Answer.UNAUTHORIZED, "the key is not known in version " + declaration.version()));
    }
    return Either.right(new Authorized(queue, team, rest, declaration.version()));
  }

  private static String hostOf(HttpRequest request) {
    String host = request.getHeader(HttpHeaders.HOST);
    if (host == null) {
      return "";
    }
    int port = host.indexOf(':');
    return port < 0 ? host : host.substring(0, port);
  }
}
