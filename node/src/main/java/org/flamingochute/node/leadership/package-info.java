/** Leadership: claiming it, and executing the scheduler's decisions while this node holds it. */
package org.flamingochute.node.leadership;
