package org.flamingochute.scheduling.fleet;

import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.schema.scheduling.QueuePolicy;

/**
 * A declared queue of jobs, with the host and path that callers use.
 *
 * @param id name of the queue
 * @param host host name in the callers' requests
 * @param pathPrefix prefix of the paths of the queue's jobs, with a slash at both ends
 * @param timeoutMilliseconds maximum duration of one call
 * @param keyless true when callers need no API key
 * @param policy scheduling policy of the queue's jobs
 */
public record Queue(
    QueueId id,
    String host,
    String pathPrefix,
    long timeoutMilliseconds,
    boolean keyless,
    QueuePolicy policy) {}
