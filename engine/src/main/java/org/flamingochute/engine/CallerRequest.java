package org.flamingochute.engine;

import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.ServiceId;
import org.flamingochute.platform.HeaderField;

/**
 * A caller's request.
 *
 * @param service the service asked for
 * @param key the team's key as presented
 * @param method HTTP method
 * @param path path and query below the service
 * @param headers headers to pass on
 * @param body whole body
 * @param timeoutMilliseconds time until the caller gives up
 * @param idempotent whether running it twice does no harm
 * @param idempotencyKey key under which a repetition does not run again
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
