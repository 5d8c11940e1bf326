package org.flamingochute.engine.maintenance;

import com.codahale.metrics.MetricRegistry;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.job.PlacerCoordinator;
import org.flamingochute.engine.log.FreshnessMonitor;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.platform.PoolControl;
import org.flamingochute.platform.Timers;

/**
 * Everything that maintenance is built from.
 *
 * @param coordinator tells whether this entry coordinates maintenance
 * @param load tells what instances have in flight
 * @param freshness tells what other members have folded
 * @param demand estimates what pools need
 * @param noticeMilliseconds shortest time between a stop and its drain
 */
public record MaintenanceParts(
    AgreedView agreed,
    PlacerCoordinator coordinator,
    WorkGate gate,
    LogAppender appender,
    PoolControl poolControl,
    InstanceLoad load,
    FreshnessMonitor freshness,
    DemandEstimator demand,
    Timers timers,
    Incarnation self,
    long noticeMilliseconds,
    MetricRegistry metrics) {}
