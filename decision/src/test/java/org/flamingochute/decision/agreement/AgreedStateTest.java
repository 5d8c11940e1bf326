package org.flamingochute.decision.agreement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;

import java.util.List;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.fleet.FleetFixture;
import org.flamingochute.schema.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AgreedStateTest {

  private static void assertRefused(ApplyResult result, ErrorCode code) {
    assertThat(result, instanceOf(ApplyResult.Refused.class));
    assertThat(((ApplyResult.Refused) result).report().code(), equalTo(code));
  }

  private static final ApplyResult ACCEPTED = new ApplyResult.Accepted();

  @Test
  void firstPatchCreatesVersionOne() {
    LogFixture log = LogFixture.withFleet();
    assertThat(log.state.description().getVersion(), equalTo(1L));
    assertThat(log.state.audit(), hasSize(1));
    assertThat(log.state.members(), hasSize(2));
  }

  @ParameterizedTest
  @CsvSource({
    "0, ana, cap, 9, PATCH_STALE_BASE",
    "2, ana, cap, 9, PATCH_STALE_BASE",
    "1, eva, cap, 9, OPERATOR_NOT_ALLOWED",
    "1, bootstrap, cap, 9, OPERATOR_NOT_ALLOWED",
    "1, ana, cap, 10, PATCH_EMPTY",
    "1, ana, cap, many, SETTINGS_WRONG_TYPE",
  })
  void refusedPatchIsAudited(long base, String operator, String key, String value, ErrorCode code) {
    LogFixture log = LogFixture.withFleet();
    LogRecord.Builder patch =
        log.patchAt(base, operator, List.of(FleetFixture.set("team", "shop", key, value)));
    assertRefused(log.append(patch), code);
    assertThat(log.state.audit(), hasSize(2));
    assertThat(log.state.audit().get(1).getAccepted(), equalTo(false));
    assertThat(log.state.description().getVersion(), equalTo(1L));
  }

  @Test
  void secondCopyOfRecordOrPatchHasNoEffect() {
    LogFixture log = LogFixture.withFleet();
    LogRecord.Builder patch =
        log.patchAt(1, "ana", List.of(FleetFixture.set("team", "shop", "cap", "11")));
    assertThat(log.append(patch), equalTo(ACCEPTED));
    assertThat(log.append(patch), instanceOf(ApplyResult.Duplicate.class));
    assertThat(log.append(patch.setRecordId("other")), instanceOf(ApplyResult.Duplicate.class));
    assertThat(log.state.description().getVersion(), equalTo(2L));
    assertThat(log.state.audit(), hasSize(2));
  }
}
