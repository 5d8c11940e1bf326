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
 * Determines the queue that a call addresses, and the team of its API key.
 *
 * <p>A revoked key must stop working in time even at a node that is cut off from the store. So keys
 * are checked only against a declaration that was confirmed recently. Its age is the longer of the
 * times elapsed on two clocks, since one of them stops while the machine is suspended.
 */
final class CallAuthorizer {
  private static final String SCHEME = "Token ";

  private final FleetState state;
  private final StoreFollower declarations;
  private final long maximumAgeMilliseconds;

  CallAuthorizer(FleetState state, StoreFollower declarations, long maximumAgeMilliseconds) {
    this.state = state;
    this.declarations = declarations;
    this.maximumAgeMilliseconds = maximumAgeMilliseconds;
  }

  /**
   * An authorized call.
   *
   * @param queue queue that the call addresses
   * @param team team of the caller; empty for a queue that needs no key
   * @param rest remainder of the path after the queue's prefix
   * @param version version of the declaration that authorized the call
   */
  record AuthorizedCall(Queue queue, Optional<TeamId> team, String rest, long version) {}

  /** Returns the authorized call, or the error response. */
  Either<CallResponse, AuthorizedCall> authorize(HttpRequest request) {
    Optional<FleetDeclaration> declaration = state.declaration();
    if (declaration.isEmpty()) {
      return Either.left(
          CallResponse.error(CallResponse.UNAVAILABLE, 1, "no declaration has been read yet"));
    }
    String path = request.getPath();
    Optional<Queue> queue = declaration.get().queueFor(hostOf(request), path);
    if (queue.isEmpty()) {
      return Either.left(
          CallResponse.error(
              CallResponse.NOT_FOUND,
              "no queue at this address in declaration version " + declaration.get().version()));
    }
    String rest = path.substring(queue.get().pathPrefix().length());
    if (queue.get().keyless()) {
      return Either.right(
          new AuthorizedCall(queue.get(), Optional.empty(), rest, declaration.get().version()));
    }
    return authorizeKey(request, declaration.get(), queue.get(), rest);
  }

  private Either<CallResponse, AuthorizedCall> authorizeKey(
      HttpRequest request, FleetDeclaration declaration, Queue queue, String rest) {
    long age = declarations.ageMilliseconds();
    if (age > maximumAgeMilliseconds) {
      return Either.left(
          CallResponse.error(
              CallResponse.UNAVAILABLE,
              1,
              "keys cannot be checked, declaration is " + age + " ms old"));
    }
    String header = request.getHeader(HttpHeaders.AUTHORIZATION);
    Optional<TeamId> team =
        header == null || !header.startsWith(SCHEME)
            ? Optional.empty()
            : declaration.teamOfKey(header.substring(SCHEME.length()).strip());
    if (team.isEmpty()) {
      return Either.left(
          CallResponse.error(
              CallResponse.UNAUTHORIZED,
              "the key is missing or unknown in declaration version " + declaration.version()));
    }
    return Either.right(new AuthorizedCall(queue, team, rest, declaration.version()));
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
