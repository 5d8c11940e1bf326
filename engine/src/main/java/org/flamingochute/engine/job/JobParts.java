package org.flamingochute.engine.job;

import com.codahale.metrics.MetricRegistry;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.WorkerControl;

/**
 * Everything that placers are built from.
 *
 * @param coordinator tells which pools this entry places
 * @param tokens the tokens of caps
 * @param gate decides whether this entry may work at all
 */
public record JobParts(
    AgreedView agreed,
    PlacerCoordinator coordinator,
    JobTokens tokens,
    WorkGate gate,
    LogAppender appender,
    WorkerControl workers,
    Timers timers,
    Incarnation self,
    MetricRegistry metrics) {}
