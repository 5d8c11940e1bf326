package org.flamingochute.engine;

import com.codahale.metrics.MetricRegistry;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.InstanceList;
import org.flamingochute.platform.PeerTransport;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.platform.PoolControl;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.WorkerControl;
import org.flamingochute.schema.EntrySettings;

/**
 * Everything that an entry node is built from.
 *
 * @param settings the checked settings, with defaults filled in
 * @param incarnation unique to this process start
 * @param httpAddress address that callers reach this entry by
 * @param peerAddress address that peers reach this entry by
 */
public record EntryNodeSettings(
    EntrySettings settings,
    Incarnation incarnation,
    String httpAddress,
    String peerAddress,
    PlatformLog log,
    InstanceList instanceList,
    PoolControl poolControl,
    WorkerControl workerControl,
    EndpointClient endpointClient,
    PeerTransport peerTransport,
    Timers timers,
    MetricRegistry metrics) {}
