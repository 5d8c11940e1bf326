package org.flamingochute.node.front;

import java.net.InetSocketAddress;

/**
 * Listen addresses of a node.
 *
 * @param callers address for callers
 * @param readiness address for the load balancer's readiness probe
 * @param metrics address for metrics
 */
public record ListenAddresses(
    InetSocketAddress callers, InetSocketAddress readiness, InetSocketAddress metrics) {}
