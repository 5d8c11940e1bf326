/** Answers callers, the balancer's readiness probe and readers of metrics. */
package org.flamingochute.node.front;
