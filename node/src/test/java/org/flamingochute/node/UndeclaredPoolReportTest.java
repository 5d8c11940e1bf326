package org.flamingochute.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against TWICE: an entry of another writer under a worker's id, of a pool that no
 * declaration names, is taken for a new start of the worker, and its tasks are started again.
 */
class UndeclaredPoolReportTest {
  private static final String KEY = "i-1";
  private static final String OWN_ADDRESS = "10.0.0.9:8080";
  private static final String OTHER_ADDRESS = "10.0.0.7:8080";

  private final FleetState state = new FleetState();
  private final List<String> changes = new ArrayList<>();
  private long offset;

  private final class RecordingListener implements FleetState.Listener {
    @Override
    public void onWorkerListed(WorkerReport report) {
      changes.add("listed " + report.address());
    }

    @Override
    public void onWorkerUnlisted(InstanceId worker) {
      changes.add("unlisted " + worker);
    }

    @Override
    public void onDeclarationChanged(FleetDeclaration declaration) {}

    @Override
    public void onWaveRequested(WaveRequest request) {}

    @Override
    public void onJobStored(StoredJob job) {}

    @Override
    public void onJobCancelled(JobId job) {}
  }

  @BeforeEach
  void start() {
    state.setListener(Optional.of(new RecordingListener()));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private void declare(long version, String... pools) {
    StringBuilder services = new StringBuilder();
    for (String pool : pools) {
      services.append(services.isEmpty() ? "" : ",").append("{\"name\":\"" + pool + "\"}");
    }
    String declaration =
        "{\"version\":%d,\"routes\":[],\"services\":[%s],\"limits\":{\"max_body_bytes\":65536},"
                .formatted(version, services)
            + "\"tenants\":[]}";
    state
        .declarationListener()
        .onRecord(new StoreRecord(ScheduleKeys.DECLARATION, bytes(declaration), version));
  }

  private StoreRecord report(String pool, String address, long startedAt) {
    String value =
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"a\",\"state\":\"ready\",\"born\":%d,"
                .formatted(pool, address, startedAt)
            + "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768},\"labels\":[]}";
    return new StoreRecord(KEY, bytes(value), ++offset);
  }

  private StoreRecord ownReport() {
    return report("p", OWN_ADDRESS, 17);
  }

  private StoreRecord foreignReport() {
    return report("other", OTHER_ADDRESS, 99);
  }

  private void read(StoreRecord record) {
    state.workerListener().onRecord(record);
  }

  private List<String> addresses() {
    List<String> addresses = new ArrayList<>();
    state.workers().forEach(report -> addresses.add(report.address()));
    return addresses;
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void lastReportHolds(boolean inSnapshot) {
    declare(1, "p");
    read(ownReport());
    if (inSnapshot) {
      state.workerListener().onSnapshot(List.of(foreignReport()));
    } else {
      read(foreignReport());
    }
    read(ownReport());
    assertThat(changes, contains("listed " + OWN_ADDRESS));
    assertThat(addresses(), contains(OWN_ADDRESS));
  }

  /** A node that starts reads the other writer's entry first. */
  @Test
  void ownReportAfterForeignOneIsListed() {
    declare(1, "p");
    read(foreignReport());
    assertThat(addresses(), is(empty()));
    read(ownReport());
    assertThat(changes, contains("listed " + OWN_ADDRESS));
  }

  /** Reports are read before the first declaration. */
  @Test
  void foreignReportIsWithdrawnByTheFirstDeclaration() {
    read(foreignReport());
    declare(1, "p");
    assertThat(addresses(), is(empty()));
    read(ownReport());
    assertThat(addresses(), contains(OWN_ADDRESS));
  }

  /** A worker of a new pool may write its report before the declaration is read. */
  @Test
  void reportIsListedOnceItsPoolIsDeclared() {
    declare(1, "p");
    read(foreignReport());
    declare(2, "p", "other");
    assertThat(changes, contains("listed " + OTHER_ADDRESS));
  }

  /** Workers of a pool that was removed may still run tasks. */
  @Test
  void reportOfFormerPoolIsListed() {
    declare(1, "p", "other");
    declare(2, "p");
    read(foreignReport());
    assertThat(addresses(), contains(OTHER_ADDRESS));
  }

  @Test
  void workerIsUnlistedIfItsKeyIsDeleted() {
    declare(1, "p");
    read(ownReport());
    read(foreignReport());
    read(new StoreRecord(KEY, new byte[0], ++offset));
    declare(2, "p", "other");
    assertThat(changes, contains("listed " + OWN_ADDRESS, "unlisted " + KEY));
  }
}
