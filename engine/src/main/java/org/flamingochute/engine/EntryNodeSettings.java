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
 * The settings and interfaces of an entry node.
 *
 * @param settings the validated settings, including defaults
 * @param incarnation unique to this process start
 * @param httpAddress address at which callers reach this entry
 * @param peerAddress address at which peers reach this entry
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
