/**
 * The HTTP interface towards callers and operators, by the ActiveJ server.
 *
 * <p>Each group of routes is one class; {@link org.flamingochute.entry.http.RequestRouter} chooses
 * it by the first part of the path.
 */
package org.flamingochute.entry.http;
