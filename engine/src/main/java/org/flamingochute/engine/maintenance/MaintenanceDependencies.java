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
 * The dependencies of maintenance.
 *
 * @param coordinator claims the reserved pool and provides its placer epoch
 * @param workload provides the work in flight at instances
 * @param freshness provides the offsets that other members have applied
 * @param demand estimates the demand of pools
 * @param noticeMilliseconds minimum time between the grant of a stop and its drain
 */
public record MaintenanceDependencies(
    AgreedView agreed,
    PlacerCoordinator coordinator,
    WorkGate gate,
    LogAppender appender,
    PoolControl poolControl,
    InstanceWorkload workload,
    FreshnessMonitor freshness,
    DemandEstimator demand,
    Timers timers,
    Incarnation self,
    long noticeMilliseconds,
    MetricRegistry metrics) {}
