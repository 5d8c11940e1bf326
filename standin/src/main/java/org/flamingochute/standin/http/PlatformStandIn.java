package org.flamingochute.standin.http;

import com.google.common.flogger.FluentLogger;
import org.flamingochute.platform.ThreadPoolTimers;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.InstancePower;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.StandInPlatformSection;
import org.flamingochute.standin.InMemoryInstanceList;
import org.flamingochute.standin.InMemoryPlatformLog;
import org.flamingochute.standin.InMemoryPoolControl;

/** Stand-in process for the platform: log, instance list and pools behind one HTTP server. */
public final class PlatformStandIn implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final HttpListeners listeners = new HttpListeners(1);
  private final JsonPostClient postClient = new JsonPostClient(listeners.group());
  private final String address;

  private PlatformStandIn(StandInPlatformSection settings) throws StandInException {
    Timers timers = new ThreadPoolTimers(1, ThreadPoolTimers.TaskFailureListener.NONE);
    InMemoryInstanceList instances =
        new InMemoryInstanceList(timers, settings.getListLagMilliseconds());
    PlatformServlet servlet =
        new PlatformServlet(
            new InMemoryPlatformLog(timers, settings.getRetainedRecords()),
            instances,
            new InMemoryPoolControl(
                timers, instances, this::setPower, settings.getRebootMilliseconds()),
            settings.getListLagMilliseconds());
    address = listeners.listen(settings.getAddress(), servlet::routes);
  }

  /** Starts the stand-in and writes its port file. */
  public static PlatformStandIn start(StandInPlatformSection settings) throws StandInException {
    PlatformStandIn standIn = new PlatformStandIn(settings);
    PortFile.write(settings.getPortFile(), standIn.address);
    logger.atInfo().log("event=stand_in_ready kind=platform http=%s", standIn.address);
    return standIn;
  }

  private void setPower(ListedInstance instance, boolean on) {
    logger.atInfo().log("event=instance_power instance=%s on=%s", instance.getInstance(), on);
    postClient.post(
        instance.getAddress(),
        RunnerServlet.POWER_PATH,
        InstancePower.newBuilder().setInstance(instance.getInstance()).setOn(on));
  }

  /** Returns the IP address and port of the HTTP server. */
  public String address() {
    return address;
  }

  @Override
  public void close() {
    postClient.close();
    listeners.close();
  }
}
