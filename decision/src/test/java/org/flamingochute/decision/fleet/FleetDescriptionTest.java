package org.flamingochute.decision.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.OperatorId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.settings.SectionName;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.SettingChange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetDescriptionTest {

  private final FleetDescription base =
      FleetFixture.description().toBuilder().setVersion(7).build();
  private final FleetPatcher patcher = new FleetPatcher();

  private Either<List<ErrorReport>, FleetDescription> patch(List<SettingChange> changes) {
    FleetPatch patch = FleetPatch.newBuilder().setPatchId("p").addAllChanges(changes).build();
    return patcher.apply(base, patch);
  }

  @Test
  void writtenTextReadsBackAsTheSameDescription() {
    FleetDescription description = FleetFixture.description();
    String text = new FleetDescriptionFormatter().format(description);
    assertThat(new FleetDescriptionParser().parse("again", text).get(), equalTo(description));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "fleet;spare_pool;none;"
            + " fleet description: section [fleet]: key \"spare_pool\": value \"none\":"
            + " no such pool",
        "pool quotes;minimum_available;5;"
            + " fleet description: section [pool quotes]: key \"minimum_available\":"
            + " value \"5\": more than the size 4",
        "service quote;pool;prints;"
            + " fleet description: section [service quote]: key \"pool\": value \"prints\":"
            + " a service needs a pool of kind runner",
        "service quote;pool;none;"
            + " fleet description: section [service quote]: key \"pool\": value \"none\":"
            + " no such pool",
        "service quote;connections;7;"
            + " fleet description: section [service quote]: key \"connections\": value \"7\":"
            + " fewer than the slots 8",
        "service quote;open;true;"
            + " fleet description: section [service quote]: key \"open_team\": value \"\":"
            + " no such team",
        "key shop-1;team;nobody;"
            + " fleet description: section [key shop-1]: key \"team\": value \"nobody\":"
            + " no such team",
        "instance i1;pool;none;"
            + " fleet description: section [instance i1]: key \"pool\": value \"none\":"
            + " no such pool",
        "wave winter;pools;quotes, none;"
            + " fleet description: section [wave winter]: key \"pools\": value \"none\":"
            + " no such pool",
        "wave winter;pools;,;"
            + " fleet description: section [wave winter]: key \"pools\": value \"\":"
            + " names no pool",
        "operator ana;rights;read;"
            + " fleet description: section [operator]: key \"rights\": value \"\":"
            + " at least one operator needs the right to patch",
        "team shop;cap;-1;"
            + " patch p: section [team shop]: key \"cap\": value \"-1\" is not between 0 and"
            + " 1000000 running",
        "team shop;colour;red;"
            + " patch p: section [team shop]: unknown key \"colour\" with value \"red\"",
        "crew shop;cap;1; patch p: section [crew shop]: unknown section",
        "team new;cap;1; patch p: section [team new]: required key \"share\" is missing",
        "team -;cap;1;"
            + " patch p: section [team -]: name \"-\" does not match"
            + " [A-Za-z0-9][A-Za-z0-9._-]{0,62}",
      })
  void patchWithInvalidResultIsRefused(String section, String key, String value, String message) {
    SectionName name = SectionName.parse(section);
    SettingChange change = FleetFixture.set(name.kind(), name.name(), key, value);
    List<String> messages =
        patch(List.of(change)).getLeft().stream().map(ErrorReport::message).toList();
    assertThat(messages, hasItem(message.strip()));
  }

  @ParameterizedTest
  @CsvSource({
    "pool, quotes, minimum_available, true",
    "team, club, '', true",
    "team, shop, cap, false",
    "pool, none, '', false",
    "pool, none, size, false",
    "pool, quotes, '', false",
  })
  void removalIsAcceptedOnlyIfResultIsValid(
      String kind, String name, String key, boolean isAccepted) {
    SettingChange change = FleetFixture.remove(kind, name, key);
    assertThat(patch(List.of(change)).isRight(), equalTo(isAccepted));
  }

  @Test
  void differenceIsMinimalAndTransformsFirstIntoSecond() {
    FleetDescription after =
        base.toBuilder()
            .putTeams("shop", base.getTeamsOrThrow("shop").toBuilder().setCap(4).build())
            .removeWaves("winter")
            .build();
    List<SettingChange> changes = FleetDifference.between(base, after);
    assertThat(changes, hasSize(2));
    FleetDescription patched = patch(changes).get();
    assertThat(patched, equalTo(after.toBuilder().setVersion(8).build()));
  }

  @Test
  void differenceFromEmptyDescriptionCreatesDescription() {
    List<SettingChange> changes =
        FleetDifference.between(FleetDescription.getDefaultInstance(), base);
    FleetPatch patch = FleetPatch.newBuilder().setPatchId("p").addAllChanges(changes).build();
    FleetDescription built = patcher.apply(FleetDescription.getDefaultInstance(), patch).get();
    assertThat(built, equalTo(base.toBuilder().setVersion(1).build()));
  }

  @ParameterizedTest
  @CsvSource({"the shop's key, shop", "the shop's kez,", "ana's key,", "'',"})
  void presentedKeyFindsItsTeam(String key, String team) {
    KeyDirectory directory = new KeyDirectory(base);
    assertThat(directory.team(key), equalTo(Optional.ofNullable(team).map(TeamId::new)));
  }

  @ParameterizedTest
  @CsvSource({"ana, ana's key, true", "ana, other, false", "eva, ana's key, false"})
  void onlyTheOperatorsKeyAuthorizes(String operator, String key, boolean allowed) {
    KeyDirectory directory = new KeyDirectory(base);
    assertThat(directory.mayPatch(new OperatorId(operator), key), equalTo(allowed));
  }
}
