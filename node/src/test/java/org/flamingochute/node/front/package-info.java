/** Tests of the responses to callers. */
package org.flamingochute.node.front;
