package org.flamingochute.load;

import org.flamingochute.schema.CallKind;

/**
 * One request or order of a caller.
 *
 * @param tag unique to the request; all its tries carry it
 * @param kind interactive request or order
 * @param service service that is asked
 * @param team team of the caller
 * @param key the team's key; empty for none
 * @param answerBytes size of the wanted answer
 * @param timeoutMilliseconds time after which the caller gives up, over all tries
 */
public record Call(
    String tag,
    CallKind kind,
    String service,
    String team,
    String key,
    int answerBytes,
    long timeoutMilliseconds) {

  /** Tells whether running it twice does harm, so that it carries an idempotency key. */
  public boolean isOrder() {
    return kind == CallKind.CALL_ORDER;
  }
}
