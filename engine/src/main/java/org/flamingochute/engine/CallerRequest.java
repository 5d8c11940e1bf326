package org.flamingochute.engine;

import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.ServiceId;
import org.flamingochute.platform.HeaderField;

/**
 * A caller's request.
 *
 * @param service the requested service
 * @param key the team's key as sent by the caller
 * @param method HTTP method
 * @param path path and query below the service
 * @param headers headers to forward
 * @param body complete body
 * @param timeoutMilliseconds timeout of the caller
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey key under which a repeated request is not run again
 */
public record CallerRequest(
    ServiceId service,
    Optional<String> key,
    String method,
    String path,
    List<HeaderField> headers,
    byte[] body,
    long timeoutMilliseconds,
    boolean idempotent,
    Optional<IdempotencyKey> idempotencyKey) {}
