package org.flamingochute.engine.job;

import com.codahale.metrics.MetricRegistry;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.WorkerControl;

/**
 * The dependencies of placers.
 *
 * @param coordinator claims pools and provides the placer epochs of this entry
 * @param tokens the cap tokens
 * @param gate decides whether this entry may accept or start work
 */
public record JobDependencies(
    AgreedView agreed,
    PlacerCoordinator coordinator,
    JobTokens tokens,
    WorkGate gate,
    LogAppender appender,
    WorkerControl workers,
    Timers timers,
    Incarnation self,
    MetricRegistry metrics) {}
