/** Requests of callers: checks, idempotency claims, queues, dispatch and retries. */
package org.flamingochute.engine.request;
