package org.flamingochute.entry.http;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

/** Serves the requests whose path begins with one word. */
@FunctionalInterface
interface RouteGroup {

  /** Serves one request on the event loop of its connection; must not block. */
  Promise<HttpResponse> serve(HttpRequest request, RequestPath path);
}
