package org.flamingochute.scheduling.fleet;

import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.schema.scheduling.QueuePolicy;

/**
 * A declared queue of jobs and the addresses under which callers reach it.
 *
 * @param id name of the queue
 * @param host host that callers name
 * @param pathPrefix beginning of the paths of the queue's jobs, with a slash at both ends
 * @param timeoutMilliseconds longest time of one call
 * @param open true when callers need no key
 * @param policy how the queue's jobs are run
 */
public record Queue(
    QueueId id,
    String host,
    String pathPrefix,
    long timeoutMilliseconds,
    boolean open,
    QueuePolicy policy) {}
