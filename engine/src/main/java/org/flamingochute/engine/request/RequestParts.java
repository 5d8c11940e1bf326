package org.flamingochute.engine.request;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.dispatch.OutlierDetector;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.Timers;

/**
 * Everything that the request path is built from.
 *
 * @param keys resolves presented keys
 * @param gate decides whether this entry may work at all
 * @param tokens the tokens of caps that this entry holds
 * @param endpoints the endpoints and their load
 * @param outliers tells which endpoints fail
 * @param random source of random delays, used under a lock
 * @param startCounts counts started requests for gossip
 * @param maximumWaiting requests that may wait in one service's queue
 */
public record RequestParts(
    AgreedView agreed,
    CurrentKeys keys,
    WorkGate gate,
    TeamTokens tokens,
    EndpointTable endpoints,
    OutlierDetector outliers,
    EndpointClient client,
    LogAppender appender,
    Timers timers,
    Incarnation self,
    UniformRandomProvider random,
    MetricRegistry metrics,
    StartCounts startCounts,
    int maximumWaiting) {}
