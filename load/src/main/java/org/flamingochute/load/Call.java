package org.flamingochute.load;

import org.flamingochute.schema.CallKind;

/**
 * An interactive request or order of a caller.
 *
 * @param tag unique tag of the call, sent with all its attempts
 * @param kind whether it is an interactive request or an order
 * @param service name of the called service
 * @param team team of the caller
 * @param key API key of the team; empty to send none
 * @param responseBytes requested size of the response in bytes
 * @param timeoutMilliseconds timeout of the call, including all attempts
 */
public record Call(
    String tag,
    CallKind kind,
    String service,
    String team,
    String key,
    int responseBytes,
    long timeoutMilliseconds) {

  /** Returns whether this is an order, which must not run twice and has an idempotency key. */
  public boolean isOrder() {
    return kind == CallKind.CALL_ORDER;
  }
}
