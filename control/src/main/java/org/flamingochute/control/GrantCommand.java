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
 * Creates a key for a team and grants it. The key is printed once; the description contains only
 * its digest.
 */
final class GrantCommand implements Command {

  private static final String SECTION_KIND = "key";
  private static final int KEY_ID_SUFFIX_LENGTH = 8;

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context.argument("TEAM").flatMap(team -> grant(context, team));
  }

  private static Either<ControlError, String> grant(CommandContext context, String team) {
    String key = context.identifierGenerator().get();
    String digest = KeyDigest.of(key).text();
    String generatedKeyId = team + "-" + digest.substring(digest.length() - KEY_ID_SUFFIX_LENGTH);
    String keyId = context.option("key-id").orElse(generatedKeyId);
    return DescriptionEditor.edit(
            context,
            "grant key " + keyId + " to team " + team,
            current -> createChanges(current, team, keyId, digest))
        .map(entry -> format(context, team, keyId, key, entry.getResultingVersion()))
        .mapLeft(error -> addKeyToUnknownOutcome(error, keyId, key));
  }

  private static Either<ControlError, List<SettingChange>> createChanges(
      FleetDescription current, String team, String keyId, String digest) {
    if (!current.containsTeams(team)) {
      return refusedError(ErrorReport.of(ErrorCode.CONTROL_TEAM_UNKNOWN, team));
    }
    KeySection existing = current.getKeysMap().get(keyId);
    if (existing != null) {
      return refusedError(
          ErrorReport.of(ErrorCode.CONTROL_KEY_ID_TAKEN, keyId, existing.getTeam()));
    }
    return Either.right(
        List.of(
            SectionChanges.set(SECTION_KIND, keyId, "team", team),
            SectionChanges.set(SECTION_KIND, keyId, "digest", digest)));
  }

  private static Either<ControlError, List<SettingChange>> refusedError(ErrorReport report) {
    return Either.left(new ControlError.Refused(report.toString()));
  }

  private static String format(
      CommandContext context, String team, String keyId, String key, long version) {
    if (context.isJson()) {
      return JsonText.of(
          GrantedKey.newBuilder().setKeyId(keyId).setTeam(team).setKey(key).setVersion(version));
    }
    return "granted key %s to team %s in version %d%n".formatted(keyId, team, version)
        + "key: %s%n".formatted(key)
        + "The key is shown only now; it cannot be read back.\n";
  }

  /** Adds the key to an unknown outcome, because it may have been granted and is not stored. */
  private static ControlError addKeyToUnknownOutcome(ControlError error, String keyId, String key) {
    if (error instanceof ControlError.UnknownOutcome unknown) {
      return new ControlError.UnknownOutcome(
          unknown.patchId(),
          unknown.detail() + "; if the patch was applied, key " + keyId + " is granted: " + key);
    }
    return error;
  }
}
