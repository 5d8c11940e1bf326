package org.flamingochute.control;

import io.vavr.control.Either;
import java.util.List;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.fleet.KeyDigest;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.GrantedKey;
import org.flamingochute.schema.KeySection;
import org.flamingochute.schema.SettingChange;

/**
 * Makes a key for a team and grants it. The key is printed once; only its digest goes into the
 * description.
 */
final class GrantCommand implements Command {

  private static final String KIND = "key";
  private static final int IDENTIFIER_LENGTH = 8;

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context.argument("TEAM").flatMap(team -> grant(context, team));
  }

  private static Either<ControlError, String> grant(CommandContext context, String team) {
    String key = context.randomIdentifiers().get();
    String digest = KeyDigest.of(key).text();
    String generated = team + "-" + digest.substring(digest.length() - IDENTIFIER_LENGTH);
    String keyId = context.option("key-id").orElse(generated);
    return DescriptionEditor.edit(
            context,
            "grant key " + keyId + " to team " + team,
            inForce -> changes(inForce, team, keyId, digest))
        .map(entry -> textOf(context, team, keyId, key, entry.getResultingVersion()))
        .mapLeft(error -> withKey(error, keyId, key));
  }

  private static Either<ControlError, List<SettingChange>> changes(
      FleetDescription inForce, String team, String keyId, String digest) {
    if (!inForce.containsTeams(team)) {
      return refused(ErrorReport.of(ErrorCode.CONTROL_TEAM_UNKNOWN, team));
    }
    KeySection taken = inForce.getKeysMap().get(keyId);
    if (taken != null) {
      return refused(ErrorReport.of(ErrorCode.CONTROL_KEY_ID_TAKEN, keyId, taken.getTeam()));
    }
    return Either.right(
        List.of(
            SectionChanges.set(KIND, keyId, "team", team),
            SectionChanges.set(KIND, keyId, "digest", digest)));
  }

  private static Either<ControlError, List<SettingChange>> refused(ErrorReport report) {
    return Either.left(new ControlError.Refused(report.toString()));
  }

  private static String textOf(
      CommandContext context, String team, String keyId, String key, long version) {
    if (context.isJson()) {
      return JsonText.of(
          GrantedKey.newBuilder().setKeyId(keyId).setTeam(team).setKey(key).setVersion(version));
    }
    return "granted key %s to team %s in version %d%n".formatted(keyId, team, version)
        + "key: %s%n".formatted(key)
        + "The key is shown only now; it cannot be read back.\n";
  }

  /** A key that may have been granted must not be lost with the reply. */
  private static ControlError withKey(ControlError error, String keyId, String key) {
    if (error instanceof ControlError.UnknownOutcome unknown) {
      return new ControlError.UnknownOutcome(
          unknown.patchId(),
          unknown.detail() + "; if it did, key " + keyId + " is granted: " + key);
    }
    return error;
  }
}
