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
 * Everything that the exchange with peers is built from.
 *
 * @param link sends frames to members
 * @param usage keeps what peers report
 * @param broker moves tokens
 * @param source gives what this entry reports
 * @param remoteStarts is told of requests that peers started
 * @param listing gives the newest instance listing
 * @param peerAddress address of this entry for peers
 * @param interval time between heartbeats
 */
public record PeerParts(
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
    Supplier<InstanceListing> listing,
    Timers timers,
    Incarnation self,
    String peerAddress,
    Duration interval,
    MetricRegistry metrics) {}
