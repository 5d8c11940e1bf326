/** What is wrong with a declaration, and how it differs from the one in force. */
package org.flamingochute.scheduling.declaration;
