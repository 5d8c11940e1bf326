package org.flamingochute.control;

import io.vavr.control.Either;
import java.util.List;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.SettingChange;

/** Withdraws a key; entries refuse it as soon as they have read the patch. */
final class WithdrawCommand implements Command {

  private static final String KIND = "key";

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .argument("KEY-ID")
        .flatMap(
            keyId ->
                DescriptionEditor.edit(
                    context, "withdraw key " + keyId, inForce -> changes(inForce, keyId)))
        .map(entry -> PatchResult.textOf(context, entry));
  }

  private static Either<ControlError, List<SettingChange>> changes(
      FleetDescription inForce, String keyId) {
    if (!inForce.containsKeys(keyId)) {
      return Either.left(
          new ControlError.Refused(
              ErrorReport.of(ErrorCode.CONTROL_KEY_ID_UNKNOWN, keyId).toString()));
    }
    return Either.right(List.of(SectionChanges.removeSection(KIND, keyId)));
  }
}
