package org.flamingochute.node.front;

import io.activej.eventloop.Eventloop;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.NodeMetrics;
import org.flamingochute.node.store.IntakeWriter;

/**
 * What the front works with.
 *
 * @param loop event loop of its servers
 * @param clock clocks of the process
 * @param state what the store holds
 * @param intake appends what callers hand in
 * @param knowledge age of what is known of the jobs
 * @param metrics counters and latencies
 * @param jobLimits largest job that the store can hold
 */
public record FrontParts(
    Eventloop loop,
    NodeClock clock,
    FleetState state,
    IntakeWriter intake,
    JobKnowledge knowledge,
    NodeMetrics metrics,
    JobLimits jobLimits) {}
