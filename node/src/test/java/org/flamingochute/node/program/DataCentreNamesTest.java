package org.flamingochute.node.program;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.util.List;
import java.util.Set;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.schema.NodeSettings;
import org.junit.jupiter.api.Test;

/** Guards against settings that the check accepts and with which a node cannot start. */
class DataCentreNamesTest {
  private static final String SETTINGS =
      """
      [instance]
      name=i
      data_centre=a
      front_address=127.0.0.1:1
      ready_address=127.0.0.1:2
      metrics_address=127.0.0.1:3
      data_centres=%s
      [store]
      address=127.0.0.1:4
      """;

  private static Either<List<ErrorReport>, NodeSettings> read(String names) {
    return NodeMain.readSettings("file.ini", SETTINGS.formatted(names));
  }

  @Test
  void tooLongNameIsFoundByTheCheck() {
    String name = "x".repeat(Identifiers.MAXIMUM_LENGTH + 1);
    String errors = read("a, " + name).getLeft().toString();
    assertThat(errors, containsString("data_centres"));
    assertThat(errors, containsString(name));
  }

  @Test
  void namesAreSeparatedByCommas() {
    assertThat(read("a, b,,").isRight(), is(true));
    assertThat(
        DataCentreNames.parse("file.ini", "a, b,,").get(),
        is(Set.of(new DataCentreId("a"), new DataCentreId("b"))));
    assertThat(DataCentreNames.parse("file.ini", "").get(), is(Set.of()));
  }
}
