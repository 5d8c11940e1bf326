package org.flamingochute.decision.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.PoolSection;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the example descriptions are valid and have the current sizes of the companies. */
class ExampleFleetsTest {

  @ParameterizedTest
  @ValueSource(strings = {"fleet-rueda-quetzal.ini", "fleet-repuestos-litoral.ini"})
  void exampleHasCompanySizes(String file) throws IOException {
    String text = Files.readString(Path.of("..", "config", file));
    Either<List<ErrorReport>, FleetDescription> result =
        new FleetDescriptionParser().parse(file, text);
    assertThat(result.fold(Object::toString, fleet -> ""), equalTo(""));
    FleetDescription fleet = result.get();
    assertThat(fleet.getServicesMap(), aMapWithSize(5));
    assertThat(fleet.getTeamsMap(), aMapWithSize(6));
    assertThat(fleet.getPoolsOrThrow(fleet.getFleet().getSparePool()).getSize(), equalTo(6));
    for (PoolSection pool : fleet.getPoolsMap().values()) {
      assertThat(pool.getSize(), allOf(greaterThanOrEqualTo(6), lessThanOrEqualTo(9)));
    }
  }
}
