package org.flamingochute.entry.http;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

/** Serves the requests whose paths have the same first segment. */
@FunctionalInterface
interface RouteGroup {

  /** Serves a request on the event loop of its connection; must not block. */
  Promise<HttpResponse> serve(HttpRequest request, RequestPath path);
}
