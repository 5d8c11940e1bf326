/**
 * The HTTP interface for callers and operators, based on the ActiveJ server.
 *
 * <p>Each group of routes is one class; {@link org.flamingochute.entry.http.RequestRouter} selects
 * it by the first path segment.
 */
package org.flamingochute.entry.http;
