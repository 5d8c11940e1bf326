package org.flamingochute.engine.peer;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.function.Supplier;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.FreshnessMonitor;
import org.flamingochute.engine.log.LogFollower;
import org.flamingochute.engine.request.EndpointTable;
import org.flamingochute.platform.PeerTransport;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.InstanceListing;

/**
 * The dependencies of the exchange with peers.
 *
 * @param link sends frames to members
 * @param usage the usage reported by peers
 * @param broker requests and transfers tokens
 * @param source provides the values that this entry reports
 * @param remoteStarts is notified of requests started by peers
 * @param newestListing provides the newest instance listing
 * @param peerAddress address at which peers reach this entry
 * @param heartbeatInterval time between heartbeats
 */
public record PeerDependencies(
    AgreedState agreed,
    LogFollower follower,
    FreshnessMonitor freshness,
    PeerTransport transport,
    PeerLink link,
    PeerUsage usage,
    EndpointTable endpoints,
    TokenBroker broker,
    GossipSource source,
    RemoteStartListener remoteStarts,
    Supplier<InstanceListing> newestListing,
    Timers timers,
    Incarnation self,
    String peerAddress,
    Duration heartbeatInterval,
    MetricRegistry metrics) {}
