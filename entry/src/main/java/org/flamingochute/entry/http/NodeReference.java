package org.flamingochute.entry.http;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.flamingochute.engine.EntryNode;

/** The entry node, which exists only after the HTTP port is known. */
public final class NodeReference {
  private final AtomicReference<EntryNode> node = new AtomicReference<>();

  /** Sets the node, once. */
  public void set(EntryNode value) {
    node.set(value);
  }

  /** Returns the node; empty while the process is starting. */
  public Optional<EntryNode> get() {
    return Optional.ofNullable(node.get());
  }
}
