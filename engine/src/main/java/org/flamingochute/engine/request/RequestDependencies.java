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
 * The dependencies of the request path.
 *
 * @param keys resolves the keys that callers send
 * @param gate decides whether this entry may accept or start work
 * @param tokens the cap tokens of this entry
 * @param endpoints the endpoints and their requests in flight
 * @param outliers detects failing endpoints
 * @param random source of random delays; not thread-safe, used under a lock
 * @param startedRequests counter of started requests, reported by gossip
 * @param maximumWaitingRequests maximum number of requests that wait in one service's queue
 */
public record RequestDependencies(
    AgreedView agreed,
    KeyDirectoryCache keys,
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
    StartedRequestCounter startedRequests,
    int maximumWaitingRequests) {}
