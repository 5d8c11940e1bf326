/** Choice of the endpoint for a request. */
package org.flamingochute.decision.dispatch;
