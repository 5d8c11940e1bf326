package org.flamingochute.scheduling.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetDeclarationTest {
  private final FleetDeclaration declaration =
      FleetDeclaration.builder()
          .version(7)
          .queue(queue("short", "one.example", "/a/"))
          .queue(queue("long", "one.example", "/a/b/"))
          .queue(queue("other", "two.example", "/a/"))
          .team(new Team(new TeamId("t"), Set.of("k1", "k2"), 1, ResourceVector.ZERO))
          .build();

  private static Queue queue(String name, String host, String prefix) {
    return new Queue(
        new QueueId(name), host, prefix, 3_000, false, QueuePolicy.getDefaultInstance());
  }

  @ParameterizedTest
  @CsvSource({
    "one.example, /a/x, short",
    "one.example, /a/b/x, long",
    "one.example, /a/b, short",
    "two.example, /a/b/x, other",
    "one.example, /c/x, none",
    "three.example, /a/x, none"
  })
  void longestMatchingPrefixOfTheHostWins(String host, String path, String expected) {
    String found = declaration.queueFor(host, path).map(queue -> queue.id().value()).orElse("none");
    assertThat(found, is(expected));
  }

  @ParameterizedTest
  @CsvSource({"k1, t", "k2, t", "k3, none"})
  void keyBelongsToItsTeam(String key, String expected) {
    assertThat(declaration.teamOfKey(key).map(TeamId::value).orElse("none"), is(expected));
  }
}
