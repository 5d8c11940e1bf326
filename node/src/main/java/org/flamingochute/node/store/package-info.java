/** Readers and writers of the topics of the platform's store. */
package org.flamingochute.node.store;
