package org.flamingochute.control;

/** Calls the operators' interface of one entry. */
public interface EntryConnection {

  /** Returns the address of the entry, for messages. */
  String address();

  /** Reads a resource. */
  EntryAnswer get(String path);

  /** Sends a JSON body, never twice. */
  EntryAnswer post(String path, String json);
}
