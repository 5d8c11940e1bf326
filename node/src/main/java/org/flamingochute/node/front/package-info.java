/** HTTP servers for callers, the load balancer's readiness probe and metrics. */
package org.flamingochute.node.front;
