package org.flamingochute.node.front;

import java.net.InetSocketAddress;

/**
 * Where an entry listens.
 *
 * @param callers for callers
 * @param readiness for the balancer's probe
 * @param metrics for counters and histograms
 */
public record FrontAddresses(
    InetSocketAddress callers, InetSocketAddress readiness, InetSocketAddress metrics) {}
