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
 * Determines which team a request is charged to.
 *
 * <p>A request with a key is charged to the key's team, at an open service too. Without a key only
 * an open service is served, charged to its open team. A revoked key is refused and never falls
 * back to the open team. The result depends on the agreed state alone, so that a revocation takes
 * effect with the record that contains it.
 */
final class RequestAdmission {

  private final AgreedView agreed;
  private final KeyDirectoryCache keys;

  RequestAdmission(AgreedView agreed, KeyDirectoryCache keys) {
    this.agreed = agreed;
    this.keys = keys;
  }

  /** Returns the team of the request, or the reason why it is refused. */
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

  /** Returns the team that currently owns the key. */
  Either<ErrorReport, TeamId> teamOfKey(String key) {
    Optional<TeamId> team = keys.directory().team(key);
    if (team.isEmpty()) {
      return Either.left(ErrorReport.of(ErrorCode.KEY_UNKNOWN));
    }
    return Either.right(team.get());
  }

  /**
   * Returns why a request that was admitted for the team may not be started now, or empty if it
   * may.
   */
  Optional<ErrorReport> keyRefusal(CallerRequest request, TeamId admittedTeam) {
    Either<ErrorReport, TeamId> currentTeam = team(request);
    if (currentTeam.isLeft()) {
      return Optional.of(currentTeam.getLeft());
    }
    if (!currentTeam.get().equals(admittedTeam)) {
      return Optional.of(ErrorReport.of(ErrorCode.KEY_UNKNOWN));
    }
    return Optional.empty();
  }
}
