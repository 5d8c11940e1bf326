package org.flamingochute.engine.request;

import io.vavr.control.Either;
import java.util.Optional;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.engine.CallerRequest;
import org.flamingochute.schema.ServiceSection;

/**
 * Decides which team a request counts for.
 *
 * <p>A presented key counts for its team, at an open service too. Without a key only an open
 * service is served, for its open team. A key that is no longer granted is refused, and never falls
 * back to the open team. The answer depends on the agreed state alone, so that a withdrawal holds
 * from the record on that carries it.
 */
final class RequestAdmission {

  private final AgreedView agreed;
  private final CurrentKeys keys;

  RequestAdmission(AgreedView agreed, CurrentKeys keys) {
    this.agreed = agreed;
    this.keys = keys;
  }

  /** Returns the team of the request, or why it is refused. */
  Either<ErrorReport, TeamId> team(CallerRequest request) {
    ServiceSection service = agreed.description().getServicesMap().get(request.service().value());
    if (service == null) {
      return Either.left(ErrorReport.of(ErrorCode.SERVICE_UNKNOWN, request.service()));
    }
    if (request.key().isPresent()) {
      return teamOfKey(request.key().get());
    }
    if (service.getOpen() && !service.getOpenTeam().isEmpty()) {
      return Either.right(new TeamId(service.getOpenTeam()));
    }
    return Either.left(ErrorReport.of(ErrorCode.KEY_MISSING, request.service()));
  }

  /** Returns the team that the key is granted to now. */
  Either<ErrorReport, TeamId> teamOfKey(String key) {
    Optional<TeamId> team = keys.directory().team(key);
    if (team.isEmpty()) {
      return Either.left(ErrorReport.of(ErrorCode.KEY_UNKNOWN));
    }
    return Either.right(team.get());
  }

  /** Returns why a request that was admitted for the team may not be started now, or nothing. */
  Optional<ErrorReport> refusalOfKey(CallerRequest request, TeamId admitted) {
    Either<ErrorReport, TeamId> now = team(request);
    if (now.isLeft()) {
      return Optional.of(now.getLeft());
    }
    if (!now.get().equals(admitted)) {
      return Optional.of(ErrorReport.of(ErrorCode.KEY_UNKNOWN));
    }
    return Optional.empty();
  }
}
